// Package recorder keeps bounded journals of the requests that reached an emulator.
package recorder

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Recorder is a bounded journal. At its limit it drops the older half of its entries.
type Recorder[T any] struct {
	mu      sync.Mutex
	limit   int
	entries []T
	dropped int
}

// New returns a Recorder that keeps up to limit entries.
func New[T any](limit int) *Recorder[T] {
	return &Recorder[T]{
		limit: limit,
	}
}

// Add appends an entry.
func (r *Recorder[T]) Add(entry T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) >= r.limit {
		half := r.limit / 2
		r.dropped += half
		r.entries = append(r.entries[:0], r.entries[half:]...)
	}
	r.entries = append(r.entries, entry)
}

// Entries returns a copy of the kept entries, oldest first.
func (r *Recorder[T]) Entries() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]T(nil), r.entries...)
}

// Journal is the JSON form of a journal.
type Journal[T any] struct {
	// Dropped is the number of older entries that are no longer kept.
	Dropped int `json:"dropped"`
	// Entries are the kept entries, oldest first.
	Entries []T `json:"entries"`
}

// ServeHTTP writes the journal as JSON.
func (r *Recorder[T]) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	journal := Journal[T]{
		Dropped: r.dropped,
		Entries: append([]T{}, r.entries...),
	}
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(journal)
}
