package router

import (
	"slices"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/balancer"
)

const (
	// readingShare is the part of its stay for which an engine reads the prompt of a request; the answer takes the rest.
	readingShare = 0.25
	// homeShare is the part of the shared prompt parts that is taken as cached at the home of a prompt, where other instances
	// send it, too.
	homeShare = 0.5
)

// observe records the load that an upstream stated at a time.
func (r *Router) observe(u *upstream, at time.Time, load balancer.Load) {
	others := u.observe(at, load)
	r.loads.of(*u.service.Load()).Observe(at, load, others)
}

// ObserveLoad records the load that an upstream stated at a time, to this instance or another one.
func (r *Router) ObserveLoad(upstream string, at time.Time, load balancer.Load) {
	r.mu.Lock()
	u := r.upstreams[upstream]
	r.mu.Unlock()
	if u != nil {
		r.observe(u, at, load)
	}
}

// pacedLoad returns the load of the candidates' service if its upstreams state their pace, and so are chosen by the time that
// a request is expected to take.
func (r *Router) pacedLoad(candidates []*upstream) (*serviceLoad, bool) {
	if len(candidates) < 2 {
		return nil, false
	}
	load := r.loads.of(*candidates[0].service.Load())
	return load, load.Paced()
}

// chooseEven acquires a slot on the candidate that the request's prompt has as its home, unless its load makes others faster;
// else on one that is drawn by the times that the request is expected to take.
func (r *Router) chooseEven(candidates []*upstream, need *Need, load *serviceLoad) (*Choice, bool) {
	expected := make([]expectation, 0, len(candidates))
	for _, u := range candidates {
		if r.usable(u, need) {
			expected = append(expected, r.expect(u, need, load))
		}
	}
	expected = withRoom(expected)
	for len(expected) > 0 {
		i := r.draw(expected, need)
		if choice, ok := r.acquire(expected[i].upstream, need); ok {
			choice.Expected = expected[i].estimate
			load.count(choice.UncachedTokens, need.Tokens)
			return choice, true
		}
		expected = slices.Delete(expected, i, i+1)
	}
	return nil, false
}

// draw returns the index of the candidate that the request goes to.
func (r *Router) draw(expected []expectation, need *Need) int {
	options := make([]balancer.Option, len(expected))
	for i := range expected {
		options[i] = expected[i].option
	}
	if len(need.Parts) > 0 {
		home := homeOf(expected, need)
		options[home].Time -= expected[home].shared
		if r.fraction() >= balancer.Leave(options[home], options) {
			evenKept.Inc()
			return home
		}
		evenMoved.Inc()
	}
	return balancer.Draw(options, r.fraction())
}

// fraction returns a uniform random number below 1.
func (r *Router) fraction() float64 {
	const steps = 1 << 53
	return float64(r.config.Random(steps)) / steps
}
