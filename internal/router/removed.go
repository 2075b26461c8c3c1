package router

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxRemoved limits the removed upstreams that are remembered.
const maxRemoved = 1024

// list returns the state of a listed upstream. One that was removed and is listed again as the same start goes on as it was:
// it may have been cut off from the store alone.
func (r *Router) list(name string) *upstream {
	if u := r.upstreams[name]; u != nil {
		return u
	}
	u := r.removed[name]
	if u == nil || !r.remembers(u) {
		u = newUpstream(name, r.config.AssumedSlots)
	}
	delete(r.removed, name)
	r.upstreams[name] = u
	return u
}

// remembers reports whether a deadline or a request of a removed upstream is left, and no other start of it is known.
func (r *Router) remembers(u *upstream) bool {
	report, _, known := r.config.Report(u.name)
	if known && report.Start != u.snapshot.Load().start {
		return false
	}
	deadline, running := u.lastDeadline()
	return running || r.config.Now().Before(deadline)
}

// remove removes an upstream that is no longer listed.
func (r *Router) remove(u *upstream) {
	u.retire()
	delete(r.upstreams, u.name)
	r.removed[u.name] = u
}

// forget drops the removed upstreams of which nothing is left, and above maxRemoved those whose deadlines end first.
func (r *Router) forget() {
	maps.DeleteFunc(r.removed, func(_ string, u *upstream) bool { return !r.remembers(u) })
	excess := len(r.removed) - maxRemoved
	if excess <= 0 {
		return
	}
	ordered := slices.SortedFunc(maps.Values(r.removed), func(a, b *upstream) int {
		first, _ := a.lastDeadline()
		second, _ := b.lastDeadline()
		return cmp.Or(first.Compare(second), cmp.Compare(a.name, b.name))
	})
	for _, u := range ordered[:excess] {
		delete(r.removed, u.name)
	}
}

// lastDeadline returns the end of what holds of the upstream for a time: a pause with the growth after it, an open circuit and
// overrides. It also reports whether requests of this instance run there.
func (u *upstream) lastDeadline() (deadline time.Time, running bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	deadline = u.openUntil
	if end := u.pause.until.Add(resumeTime); !u.pause.until.IsZero() && end.After(deadline) {
		deadline = end
	}
	for _, entry := range u.overrides {
		if entry.expiry.After(deadline) {
			deadline = entry.expiry
		}
	}
	return deadline, u.running > 0
}
