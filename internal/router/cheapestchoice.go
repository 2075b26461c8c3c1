package router

import "slices"

// Costs of sending a request to an engine, as fractions of processing its whole prompt.
const (
	// loadCost is the cost of an engine without free slots, where a prompt waits for the prompts of
	// all other requests.
	loadCost = 1.0
	// otherDomainCost is the cost of another failure domain: traffic between domains is billed.
	otherDomainCost = 0.05
	// adapterCost is the cost of an adapter that has to be loaded first.
	adapterCost = 0.1
)

// chooseCheapest acquires a slot on the engine with the lowest cost for the request,
// which counts the uncached part of the prompt, the engine's utilization, its
// domain and a missing adapter. Ties are broken by rendezvous hashing on the first
// part, so that instances that have sent no requests yet agree.
func (r *Router) chooseCheapest(candidates []*upstream, need *Need) (*Choice, bool) {
	ranked := make([]rankedUpstream, 0, len(candidates))
	for _, u := range candidates {
		if !r.usable(u, need) {
			continue
		}
		ranked = append(ranked, rankedUpstream{
			upstream: u,
			cost:     r.cost(u, need),
			hash:     mix(u.hash ^ need.Parts[0].Hash),
		})
	}
	slices.SortFunc(ranked, rankedUpstream.compare)
	for _, candidate := range ranked {
		if choice, ok := r.acquire(candidate.upstream, need); ok {
			return choice, true
		}
	}
	return nil, false
}

// rankedUpstream is a candidate with its cost and its rendezvous hash for the request.
type rankedUpstream struct {
	upstream *upstream
	cost     float64
	hash     uint64
}

// compare orders candidates by ascending cost, then by descending hash.
func (c rankedUpstream) compare(other rankedUpstream) int {
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

// cost returns the cost of sending the request to an engine, in units of its
// whole prompt.
func (r *Router) cost(u *upstream, need *Need) float64 {
	promptTokens := float64(max(1, totalTokens(need.Parts)))
	cost := float64(u.cache.uncachedTokens(need.Parts)) / promptTokens
	cost += loadCost * u.utilization(r.config.EngineTokens(need.Service))
	if !u.sameDomain.Load() {
		cost += otherDomainCost
	}
	if need.Adapter != "" && !u.hasAdapter(need) {
		cost += adapterCost
	}
	return cost
}

// utilization returns the used fraction of the slots, or the fraction of the engine's memory that this
// instance's own requests occupy, whichever is larger. The memory is in tokens; zero means unknown.
func (u *upstream) utilization(memory int64) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	used := float64(u.load()) / float64(max(1, u.capacity))
	if memory > 0 {
		used = max(used, float64(u.tokens)/float64(memory))
	}
	return used
}
