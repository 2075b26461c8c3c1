package router

import "slices"

// The costs of an engine for a request, as parts of the request's own prompt.
const (
	// fullCost is that of an engine without free slots: it makes its prompts wait
	// for those of all others.
	fullCost = 1.0
	// farCost is that of another failure domain: bytes between domains are paid for.
	farCost = 0.05
	// adapterCost is that of an adapter which has to be loaded first.
	adapterCost = 0.1
)

// cheapest takes a place on the engine with the lowest cost for the request:
// what it must read of the prompt, and how full it is. Instances that know
// nothing yet agree by rendezvous hashing on the first part.
func (r *Router) cheapest(candidates []*upstream, need *Need) (*Choice, bool) {
	ranked := make([]costed, 0, len(candidates))
	for _, u := range candidates {
		if !r.usable(u, need) {
			continue
		}
		ranked = append(ranked, costed{
			upstream: u,
			cost:     r.cost(u, need),
			hash:     mix(u.hash ^ need.Parts[0].Hash),
		})
	}
	slices.SortFunc(ranked, costed.compare)
	for _, candidate := range ranked {
		if choice, ok := r.take(candidate.upstream, need); ok {
			return choice, true
		}
	}
	return nil, false
}

// costed is an engine with its cost.
type costed struct {
	upstream *upstream
	cost     float64
	hash     uint64
}

func (c costed) compare(other costed) int {
	switch {
	case c.cost < other.cost:
		return -1
	case c.cost > other.cost:
		return 1
	case c.hash > other.hash:
		return -1
	default:
		return 1
	}
}

func (r *Router) cost(u *upstream, need *Need) float64 {
	whole := float64(max(1, length(need.Parts)))
	cost := float64(u.kept.missing(need.Parts)) / whole
	cost += fullCost * u.fullness(r.config.Tokens(need.Service))
	if !u.near.Load() {
		cost += farCost
	}
	if need.Adapter != "" && !u.holds(need) {
		cost += adapterCost
	}
	return cost
}

// fullness is the taken part of the slots or of the memory, whichever is more.
func (u *upstream) fullness(memory int64) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	full := float64(u.load()) / float64(max(1, u.capacity))
	if memory > 0 {
		full = max(full, float64(u.tokens)/float64(memory))
	}
	return full
}
