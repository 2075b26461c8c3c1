package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or a tombstone in its history.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// lease is one lease, which removes its keys when it ends.
type lease struct {
	span time.Duration
	end  time.Time
}

// pageItems is the largest number of items of a page.
const pageItems = 500

// store is a stand-in of the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	next     uint64
	// changed is closed at the next change.
	changed chan struct{}
}

// newStore starts a store on a free port of an address.
func newStore(host string) (*store, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{
		address:  listener.Addr().String(),
		revision: 1,
		items:    map[string]item{},
		leases:   map[uint64]*lease{},
		next:     70_000,
		changed:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /buckthorngap/kv-key", s.handleKey)
	mux.HandleFunc("GET /buckthorngap/kv-range", s.handleRange)
	mux.HandleFunc("GET /buckthorngap/kv-watch", s.handleWatch)
	mux.HandleFunc("POST /buckthorngap/kv-txn", s.handleTransaction)
	mux.HandleFunc("POST /buckthorngap/kv-lease", s.handleLease)
	mux.HandleFunc("POST /buckthorngap/kv-keep/{id}", s.handleKeep)
	mux.HandleFunc("DELETE /buckthorngap/kv-lease-end/{id}", s.handleEnd)
	go func() { _ = http.Serve(listener, mux) }()
	go s.loop()
	return s, nil
}

// loop ends leases whose time has passed.
func (s *store) loop() {
	for range time.Tick(50 * time.Millisecond) {
		now := time.Now()
		s.mu.Lock()
		for id, l := range s.leases {
			if now.After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. The mutex is held.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.apply(key, nil, 0, true)
		}
	}
}

// apply makes one change. The mutex is held.
func (s *store) apply(key string, value []byte, id uint64, remove bool) {
	s.revision++
	i := item{
		Key:       key,
		Value:     value,
		Revision:  s.revision,
		Created:   s.revision,
		Lease:     id,
		Tombstone: remove,
	}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	if remove {
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or an engine does.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(key, encoded, 0, false)
}

// reply writes a body as JSON.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		Current uint64 `json:"current_rev"`
	}{i, revision})
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	truncated := len(found) > pageItems
	reply(w, http.StatusOK, map[string]any{
		"items":       found[:min(len(found), pageItems)],
		"truncated":   truncated,
		"current_rev": revision,
	})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{
				"events":      events,
				"current_rev": revision,
			})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, map[string]any{
				"events":      events,
				"current_rev": revision,
			})
			return
		}
	}
}

// transaction is the body of a change under conditions.
type transaction struct {
	Conditions []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"precondition"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

func (s *store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	status, body := s.commit(t)
	s.mu.Unlock()
	reply(w, status, body)
}

// commit applies a transaction and returns the answer. The mutex is held.
func (s *store) commit(t transaction) (int, any) {
	current, failed := []item{}, false
	for _, c := range t.Conditions {
		i := s.items[c.Key]
		i.Key = c.Key
		current = append(current, i)
		failed = failed || i.Revision != c.Revision
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{
			"items":       current,
			"current_rev": s.revision,
		}
	}
	for _, write := range t.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	for _, write := range t.Writes {
		s.apply(write.Key, write.Value, write.Lease, false)
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			s.apply(key, nil, 0, true)
		}
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) handleLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Span int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&request)
	span := time.Duration(request.Span) * time.Millisecond
	s.mu.Lock()
	s.next++
	id := s.next
	s.leases[id] = &lease{
		span: span,
		end:  time.Now().Add(span),
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"lease":  id,
		"ttl_ms": request.Span,
	})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.end = time.Now().Add(l.span)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.span.Milliseconds()})
}

func (s *store) handleEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{})
}
