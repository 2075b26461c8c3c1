package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeFault is how the store treats calls.
type storeFault int

const (
	storeNormal storeFault = iota
	// storeSilent reads calls and never answers them.
	storeSilent
)

// item is an entry of the store, or its removal.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	timeToLive time.Duration
	deadline   time.Time
}

// store is a stand-in for the platform's store. It keeps all of its history.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	leases   map[uint64]lease
	changed  chan struct{}
	fault    storeFault
}

const (
	// pageItems is the largest number of items in one answer.
	pageItems = 500
	// maxWatch is the longest time that a watch may wait.
	maxWatch = 30 * time.Second
)

func newStore(host string) (*store, error) {
	s := &store{
		revision: 1,
		items:    map[string]item{},
		leases:   map[uint64]lease{},
		changed:  make(chan struct{}),
	}
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{
		Handler: s,
	}
	go func() { _ = s.server.Serve(listener) }()
	go s.loop()
	return s, nil
}

// loop ends leases whose time is over. While the store is silent, leases pause.
func (s *store) loop() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if s.fault == storeNormal && now.After(l.deadline) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// setFault sets how calls are treated.
func (s *store) setFault(fault storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault != storeNormal && fault == storeNormal {
		now := time.Now()
		for id, l := range s.leases {
			l.deadline = now.Add(l.timeToLive)
			s.leases[id] = l
		}
	}
	s.fault = fault
}

// put writes an item for the operator or an engine and returns when the store has accepted it.
func (s *store) put(key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, encoded, 0)
	return time.Now()
}

// drop removes an item for an engine and returns when the store has done so.
func (s *store) drop(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	return time.Now()
}

func (s *store) write(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{
		Key:      key,
		Value:    value,
		Revision: s.revision,
		Created:  created,
		Lease:    lease,
	}
	s.addEvent(s.items[key])
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.addEvent(item{
		Key:       key,
		Revision:  s.revision,
		Tombstone: true,
	})
}

func (s *store) addEvent(event item) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, entry := range s.items {
		if entry.Lease == id {
			s.remove(key)
		}
	}
}

// ServeHTTP answers a call as the platform's pages say.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	silent := s.fault == storeSilent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, answer := s.call(r, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) call(r *http.Request, body []byte) (int, any) {
	if r.URL.Path == "/buckthorngap/kv-watch" {
		return s.watch(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	id := func(prefix string) uint64 {
		number, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, prefix), 10, 64)
		return number
	}
	switch path := r.URL.Path; {
	case path == "/buckthorngap/kv-key":
		entry, ok := s.items[query.Get("key")]
		if !ok {
			return http.StatusNotFound, map[string]any{"current_rev": s.revision}
		}
		return http.StatusOK, struct {
			item
			Current uint64 `json:"current_rev"`
		}{entry, s.revision}
	case path == "/buckthorngap/kv-range":
		return s.list(query.Get("prefix"), query.Get("after"))
	case path == "/buckthorngap/kv-txn":
		return s.commit(body)
	case path == "/buckthorngap/kv-lease":
		return s.grant(body)
	case strings.HasPrefix(path, "/buckthorngap/kv-keep/"):
		number := id("/buckthorngap/kv-keep/")
		l, ok := s.leases[number]
		if !ok {
			return http.StatusNotFound, map[string]any{}
		}
		l.deadline = time.Now().Add(l.timeToLive)
		s.leases[number] = l
		return http.StatusOK, map[string]any{"ttl_ms": l.timeToLive.Milliseconds()}
	case strings.HasPrefix(path, "/buckthorngap/kv-lease-end/"):
		s.endLease(id("/buckthorngap/kv-lease-end/"))
		return http.StatusOK, map[string]any{}
	}
	return http.StatusNotFound, map[string]any{}
}

func (s *store) list(prefix, after string) (int, any) {
	items := []item{}
	for key, entry := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, entry)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(items) > pageItems
	return http.StatusOK, map[string]any{
		"items":       items[:min(len(items), pageItems)],
		"truncated":   truncated,
		"current_rev": s.revision,
	}
}

func (s *store) watch(r *http.Request) (int, any) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatch))
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		first, _ := slices.BinarySearchFunc(s.events, after+1, func(e item, revision uint64) int {
			return int(int64(e.Revision) - int64(revision))
		})
		for _, event := range s.events[first:] {
			if strings.HasPrefix(event.Key, query.Get("prefix")) {
				events = append(events, event)
			}
		}
		answer := map[string]any{
			"events":      events,
			"current_rev": s.revision,
		}
		changed := s.changed
		silent := s.fault == storeSilent
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusOK, answer
		}
	}
}

func (s *store) commit(body []byte) (int, any) {
	var request struct {
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
	if err := json.Unmarshal(body, &request); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	failed, current := false, []item{}
	for _, condition := range request.Conditions {
		entry, ok := s.items[condition.Key]
		failed = failed || entry.Revision != condition.Revision
		if ok {
			current = append(current, entry)
		}
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, w := range request.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return http.StatusNotFound, map[string]any{}
		}
	}
	for _, w := range request.Writes {
		s.write(w.Key, w.Value, w.Lease)
	}
	for _, key := range request.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grant(body []byte) (int, any) {
	var request struct {
		Milliseconds int64 `json:"ttl_ms"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	s.revision++
	l := lease{
		timeToLive: time.Duration(request.Milliseconds) * time.Millisecond,
	}
	l.deadline = time.Now().Add(l.timeToLive)
	s.leases[s.revision] = l
	return http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": request.Milliseconds}
}
