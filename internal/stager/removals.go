package stager

import (
	"sync"
	"time"
)

// heldCopy is a copy of a model on an engine.
type heldCopy struct {
	engine     string
	checkpoint string
}

// removals are the copies that are being unloaded, or have been, and that list entries still show. Without them, swaps that
// begin at the same time each take the other copies of a model for those that stay.
type removals struct {
	mu    sync.Mutex
	until map[heldCopy]time.Time
}

func newRemovals() *removals {
	return &removals{
		until: map[heldCopy]time.Time{},
	}
}

// record records that an engine unloads a model, or holds it again.
func (r *removals) record(now time.Time, engine, checkpoint string, held bool) {
	key := heldCopy{
		engine:     engine,
		checkpoint: checkpoint,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for former, until := range r.until {
		if now.After(until) {
			delete(r.until, former)
		}
	}
	if held {
		delete(r.until, key)
		return
	}
	r.until[key] = now.Add(reportLag)
}

// has reports whether an engine unloads a model that its list entry shows.
func (r *removals) has(now time.Time, engine, checkpoint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.until[heldCopy{
		engine:     engine,
		checkpoint: checkpoint,
	}]
	return ok && !now.After(until)
}
