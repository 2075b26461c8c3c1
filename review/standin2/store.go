package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's store: items, leases and a history, linearizable, without faults of its own.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	leases   map[uint64]*storeLease
	changed  chan struct{}
}

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storeLease struct {
	ttl      time.Duration
	deadline time.Time
}

func newStore() *Store {
	s := &Store{
		revision: 100,
		items:    map[string]storeItem{},
		leases:   map[uint64]*storeLease{},
		changed:  make(chan struct{}),
	}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *Store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
}

func (s *Store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *Store) write(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	entry := storeItem{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = entry
	s.event(entry)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.event(storeItem{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *Store) event(entry storeItem) {
	s.events = append(s.events, entry)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.deadline) {
			s.end(id)
		}
	}
}

func (s *Store) end(id uint64) {
	delete(s.leases, id)
	for key, entry := range s.items {
		if entry.Lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, answer := s.answer(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Store) answer(r *http.Request) (int, any) {
	path, query := r.URL.Path, r.URL.Query()
	if path == "/buckthorngap/kv-watch" {
		return s.watch(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case path == "/buckthorngap/kv-key":
		entry, ok := s.items[query.Get("key")]
		if !ok {
			return http.StatusNotFound, map[string]any{"current_rev": s.revision}
		}
		return http.StatusOK, struct {
			storeItem
			Current uint64 `json:"current_rev"`
		}{entry, s.revision}
	case path == "/buckthorngap/kv-range":
		items := []storeItem{}
		for key, entry := range s.items {
			if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
				items = append(items, entry)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		return http.StatusOK, map[string]any{"items": items, "truncated": false, "current_rev": s.revision}
	case path == "/buckthorngap/kv-txn":
		return s.commit(r)
	case path == "/buckthorngap/kv-lease":
		var request struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&request) != nil {
			return http.StatusBadRequest, nil
		}
		s.revision++
		ttl := time.Duration(request.TTL) * time.Millisecond
		s.leases[s.revision] = &storeLease{ttl: ttl, deadline: time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": request.TTL}
	case strings.HasPrefix(path, "/buckthorngap/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/buckthorngap/kv-keep/"), 10, 64)
		lease := s.leases[id]
		if lease == nil {
			return http.StatusNotFound, nil
		}
		lease.deadline = time.Now().Add(lease.ttl)
		return http.StatusOK, map[string]any{"ttl_ms": lease.ttl.Milliseconds()}
	case strings.HasPrefix(path, "/buckthorngap/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/buckthorngap/kv-lease-end/"), 10, 64)
		s.end(id)
		return http.StatusOK, map[string]any{}
	}
	return http.StatusBadRequest, nil
}

func (s *Store) watch(r *http.Request) (int, any) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []storeItem{}
		for i := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after }); i < len(s.events); i++ {
			if strings.HasPrefix(s.events[i].Key, query.Get("prefix")) {
				events = append(events, s.events[i])
			}
		}
		answer := map[string]any{"events": events, "current_rev": s.revision}
		changed := s.changed
		s.mu.Unlock()
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

func (s *Store) commit(r *http.Request) (int, any) {
	var request struct {
		Precondition []struct {
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
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		return http.StatusBadRequest, nil
	}
	current, failed := []storeItem{}, false
	for _, condition := range request.Precondition {
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
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return http.StatusNotFound, nil
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
