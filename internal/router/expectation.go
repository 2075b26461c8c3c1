package router

import (
	"github.com/buckthorngap/buckthorngap/internal/balancer"
)

// expectation is what a candidate is expected to mean for a request.
type expectation struct {
	upstream *upstream
	estimate balancer.Estimate
	// option holds times, in prompt tokens that an engine reads at its usual pace, or as a multiple of a request's own time for
	// a plain service.
	option balancer.Option
	// apart is the cost of the candidate but for its load and pace, which all instances see alike.
	apart float64
	// shared is the time that the candidate saves if it is the home of the prompt.
	shared float64
	// full is set if the request would exceed the engine's memory.
	full bool
}

// expect returns what a candidate is expected to mean for a request.
func (r *Router) expect(u *upstream, need *Need, load *serviceLoad) expectation {
	u.mu.Lock()
	estimate := u.estimator.Expect(r.config.Now(), &load.Mean)
	own, slots, tokens := float64(u.running), float64(max(1, u.capacity)), u.tokens
	u.mu.Unlock()
	x := expectation{
		upstream: u,
		estimate: estimate,
		apart:    1,
	}
	step := estimate.Pace / slots
	extra := 0.0
	if need.Checkpoint != "" {
		uncached, held := load.request()
		prompt := float64(max(1, need.Tokens, totalTokens(need.Parts)))
		unread := prompt
		if !u.sameDomain.Load() {
			extra += otherDomainCost * prompt
		}
		if need.Adapter != "" && !u.hasAdapter(need) {
			extra += adapterCost * prompt
		}
		if len(need.Parts) > 0 {
			unread = float64(u.cache.uncachedTokens(need.Parts))
		}
		x.apart = unread
		if n := len(need.Parts); n > 0 {
			x.shared = estimate.Pace * homeShare * max(0, unread-float64(need.Parts[n-1].Tokens))
		}
		step = estimate.Pace * readingShare * max(1, uncached)
		memory := float64(r.config.EngineTokens(need.Service))
		x.full = memory > 0 && float64(tokens+need.Tokens)+estimate.Others*held > memory
	}
	ahead := step * (own + estimate.Others)
	x.option = balancer.Option{
		Time:   estimate.Pace*x.apart + extra + ahead,
		Ahead:  ahead,
		Step:   step,
		Unseen: estimate.Unseen,
	}
	x.apart += extra
	return x
}

// withRoom returns the candidates whose memory has room for the request, or all if none has: how much others occupy is only
// estimated.
func withRoom(expected []expectation) []expectation {
	room := make([]expectation, 0, len(expected))
	for i := range expected {
		if !expected[i].full {
			room = append(room, expected[i])
		}
	}
	if len(room) == 0 {
		return expected
	}
	return room
}

// homeOf returns the index of the candidate that is best for the request but for its load. Ties are broken by rendezvous
// hashing on the first prompt part, so that instances that have sent no requests yet agree.
func homeOf(expected []expectation, need *Need) int {
	home := 0
	var best rankedUpstream
	for i := range expected {
		u := expected[i].upstream
		ranked := rankedUpstream{
			upstream: u,
			cost:     expected[i].apart,
			hash:     mix(u.hash ^ need.Parts[0].Hash),
		}
		if i == 0 || ranked.compare(best) < 0 {
			home, best = i, ranked
		}
	}
	return home
}
