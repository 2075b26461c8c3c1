package router

import (
	"slices"

	"github.com/buckthorngap/buckthorngap/internal/pacer"
)

// randomDraws is the number of random draws before drawTwo scans the candidates in order instead.
const randomDraws = 4

// affinitySlack is how many fewer free slots the engine that likely caches the prompt's
// prefix may have than another candidate before it loses its preference, as a fraction
// of its slots.
const affinitySlack = 0.25

// chooseWeighted acquires a slot on one of two random candidates (power of two choices), weighted by
// their free slots. The candidate that likely caches the prefix is tried first, unless another one has
// many more free slots.
func (r *Router) chooseWeighted(candidates []*upstream, need *Need) (*Choice, bool) {
	if len(candidates) == 0 {
		return nil, false
	}
	if need.Prefix != 0 {
		if choice, ok := r.chooseCached(candidates, need); ok {
			return choice, true
		}
	}
	first, second := r.drawTwo(candidates, need)
	if first == nil {
		return nil, false
	}
	if second != nil && r.prefers(second, first) {
		first, second = second, first
	}
	if choice, ok := r.acquire(first, need); ok {
		return choice, true
	}
	if second != nil {
		if choice, ok := r.acquire(second, need); ok {
			return choice, true
		}
	}
	return r.scan(candidates, need)
}

// drawTwo returns up to two random usable candidates.
func (r *Router) drawTwo(candidates []*upstream, need *Need) (first, second *upstream) {
	n := uint64(len(candidates))
	if n > randomDraws {
		for range randomDraws {
			u := candidates[r.config.Random(n)]
			if u == first || !r.usable(u, need) {
				continue
			}
			if first != nil {
				return first, u
			}
			first = u
		}
	}
	start := r.config.Random(n)
	for i := range n {
		u := candidates[(start+i)%n]
		if u == first || !r.usable(u, need) {
			continue
		}
		if first != nil {
			return first, u
		}
		first = u
	}
	return first, nil
}

// prefers reports whether a is tried before b. The choice is random and weighted
// by the squares of the free slots: always taking the emptier one would send all
// instances to the same engine between two reports.
func (r *Router) prefers(a, b *upstream) bool {
	freeA, freeB := a.free(), b.free()
	if r.config.AlwaysEmptier {
		return freeA > freeB
	}
	squareA, squareB := uint64(freeA)*uint64(freeA), uint64(freeB)*uint64(freeB)
	if squareA+squareB == 0 {
		return false
	}
	return r.config.Random(squareA+squareB) < squareA
}

// scan acquires a slot on the first usable candidate.
func (r *Router) scan(candidates []*upstream, need *Need) (*Choice, bool) {
	for _, u := range candidates {
		if r.usable(u, need) {
			if choice, ok := r.acquire(u, need); ok {
				return choice, true
			}
		}
	}
	return nil, false
}

// usable reports whether an upstream can serve the request, is not excluded and
// accepts requests now.
func (r *Router) usable(u *upstream, need *Need) bool {
	return !need.awaitsPermit && u.canServe(need) && !slices.Contains(need.Exclude, u.name) && u.available(r.config.Now())
}

// acquire takes a slot on an upstream and a permit if it has a limit, credits the retry budget, and updates the
// prefix hints and the model of the engine's prompt cache.
func (r *Router) acquire(u *upstream, need *Need) (*Choice, bool) {
	if need.awaitsPermit || slices.Contains(need.Exclude, u.name) || !need.suits(u) || !u.available(r.config.Now()) {
		return nil, false
	}
	if admission := r.config.Admit(u.paced()); admission != pacer.Admitted {
		need.awaitsPermit = need.Waits && admission == pacer.Pending
		return nil, false
	}
	start := u.snapshot.Load().start
	address, probe, ok := u.acquire(r.config.Now(), need.Tokens)
	if !ok {
		return nil, false
	}
	r.budget.deposit()
	uncached := int64(0)
	if need.Prefix != 0 {
		r.hints.set(need.Prefix, u, true)
	}
	if len(need.Parts) > 0 {
		uncached = u.cache.uncachedTokens(need.Parts)
		u.cache.add(need.Parts, r.config.EngineTokens(need.Service))
	}
	return &Choice{
		Upstream:       u.name,
		Address:        address,
		Busy:           u.busy(),
		Slots:          u.slots(),
		Version:        *u.version.Load(),
		UncachedTokens: uncached,
		AdapterMissing: need.Adapter != "" && !u.hasAdapter(need),
		tokens:         need.Tokens,
		start:          start,
		router:         r,
		target:         u,
		probe:          probe,
	}, true
}

// chooseCached acquires a slot on the engine that likely caches the prefix: the
// one that a hint names, or else the one that all instances agree on by rendezvous
// hashing. It returns false if a random other candidate has many more free slots.
func (r *Router) chooseCached(candidates []*upstream, need *Need) (*Choice, bool) {
	u := r.hints.get(need.Prefix)
	if u == nil || !u.canServe(need) {
		u = rendezvous(candidates, need.Prefix)
	}
	if u == nil || !r.usable(u, need) {
		return nil, false
	}
	other := candidates[r.config.Random(uint64(len(candidates)))]
	if other != u && r.usable(other, need) && float64(other.free()-u.free()) > affinitySlack*float64(u.slots()) {
		return nil, false
	}
	return r.acquire(u, need)
}
