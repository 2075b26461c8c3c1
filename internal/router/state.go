package router

import "slices"

// State summarizes the candidates for a request, for the request log.
type State struct {
	// Holding is the number of upstreams with the requested checkpoint or service.
	Holding int
	// Lacking is how many of them do not have the adapter.
	Lacking int
	// Full is how many of them have no free slot.
	Full int
	// Resting is how many of them have an open circuit after failures.
	Resting int
	// Excluded is how many of them were tried already.
	Excluded int
}

// State summarizes the candidates for a request.
func (r *Router) State(need Need) State {
	now := r.config.Now()
	var state State
	for _, u := range r.index.Load().candidates(&need) {
		state.Holding++
		if need.Adapter != "" && !u.hasAdapter(&need) {
			state.Lacking++
		}
		if slices.Contains(need.Exclude, u.name) {
			state.Excluded++
		}
		u.mu.Lock()
		if u.load() >= u.capacity {
			state.Full++
		}
		if !u.openUntil.IsZero() && (u.probing || now.Before(u.openUntil)) {
			state.Resting++
		}
		u.mu.Unlock()
	}
	return state
}
