package router

import "slices"

// State is what the upstreams that a request could go to are like, for its log.
type State struct {
	// Holding is the number of upstreams that hold what it asks for.
	Holding int
	// Lacking is how many of them lack the adapter.
	Lacking int
	// Full is how many have no free slot.
	Full int
	// Resting is how many are left alone after failures.
	Resting int
	// Excluded is how many were tried already.
	Excluded int
}

// State describes the upstreams that a request could go to.
func (r *Router) State(need Need) State {
	now := r.config.Now()
	var state State
	for _, u := range r.index.Load().candidates(&need) {
		state.Holding++
		if need.Adapter != "" && !u.holds(&need) {
			state.Lacking++
		}
		if slices.Contains(need.Exclude, u.name) {
			state.Excluded++
		}
		u.mu.Lock()
		if u.load() >= u.capacity {
			state.Full++
		}
		if !u.until.IsZero() && (u.probing || now.Before(u.until)) {
			state.Resting++
		}
		u.mu.Unlock()
	}
	return state
}
