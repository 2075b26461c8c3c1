package router

import (
	"slices"
	"time"
)

// CandidateCounts counts the candidates for a request by what keeps them from serving it, for the request log.
type CandidateCounts struct {
	// Total is the number of upstreams with the requested checkpoint or service, of a version that suits the request.
	Total int
	// WithoutAdapter is how many of them have not loaded the adapter.
	WithoutAdapter int
	// Full is how many of them have no free slot.
	Full int
	// CircuitOpen is how many of them have an open circuit after failures.
	CircuitOpen int
	// Limited is how many of them have stated a limit that leaves no room for a request now.
	Limited int
	// Paused is how many of them want no requests of this instance now.
	Paused int
	// Excluded is how many of them were tried already.
	Excluded int
}

// CountCandidates counts the candidates for a request.
func (r *Router) CountCandidates(need Need) CandidateCounts {
	now := r.config.Now()
	var counts CandidateCounts
	for _, u := range r.index.Load().candidates(&need) {
		if !need.suits(u) {
			continue
		}
		counts.Total++
		if need.Adapter != "" && !u.hasAdapter(&need) {
			counts.WithoutAdapter++
		}
		if slices.Contains(need.Exclude, u.name) {
			counts.Excluded++
		}
		if state := r.config.LimitState(u.paced()); state.Limited && state.Next.After(now) {
			counts.Limited++
		}
		u.countStates(&counts, now)
	}
	return counts
}

// countStates counts what keeps the upstream from accepting any request now.
func (u *upstream) countStates(counts *CandidateCounts, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.load() >= u.capacity {
		counts.Full++
	}
	if !u.pause.allows(now) {
		counts.Paused++
	}
	if !u.openUntil.IsZero() && (u.probing || now.Before(u.openUntil)) {
		counts.CircuitOpen++
	}
}
