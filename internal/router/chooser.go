package router

import "slices"

// probes is the number of random candidates that are looked at before all are.
const probes = 4

// slack is how much of its slots, as a fraction, the engine that holds the
// prompt's prefix may be fuller than another candidate.
const slack = 0.25

// choose takes a place on one of two random candidates, the emptier one more
// often in proportion to its free slots. The candidate that likely holds the
// prefix goes first while it has room.
func (r *Router) choose(candidates []*upstream, need *Need) (*Choice, bool) {
	if len(candidates) == 0 {
		return nil, false
	}
	if need.Prefix != 0 {
		if choice, ok := r.chooseCached(candidates, need); ok {
			return choice, true
		}
	}
	first, second := r.draw(candidates, need)
	if first == nil {
		return nil, false
	}
	if second != nil && r.prefers(second, first) {
		first, second = second, first
	}
	if choice, ok := r.take(first, need); ok {
		return choice, true
	}
	if second != nil {
		if choice, ok := r.take(second, need); ok {
			return choice, true
		}
	}
	return r.scan(candidates, need)
}

// draw returns up to two random usable candidates.
func (r *Router) draw(candidates []*upstream, need *Need) (first, second *upstream) {
	n := uint64(len(candidates))
	if n > probes {
		for range probes {
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

// prefers tells at random whether a goes before b, by the squares of their free slots.
func (r *Router) prefers(a, b *upstream) bool {
	freeA, freeB := a.free(), b.free()
	if r.config.Herd {
		return freeA > freeB
	}
	squareA, squareB := uint64(freeA)*uint64(freeA), uint64(freeB)*uint64(freeB)
	if squareA+squareB == 0 {
		return false
	}
	return r.config.Random(squareA+squareB) < squareA
}

// scan takes a place on any usable candidate.
func (r *Router) scan(candidates []*upstream, need *Need) (*Choice, bool) {
	for _, u := range candidates {
		if r.usable(u, need) {
			if choice, ok := r.take(u, need); ok {
				return choice, true
			}
		}
	}
	return nil, false
}

func (r *Router) usable(u *upstream, need *Need) bool {
	return u.has(need) && !slices.Contains(need.Exclude, u.name) && u.open(r.config.Now())
}

func (r *Router) take(u *upstream, need *Need) (*Choice, bool) {
	if slices.Contains(need.Exclude, u.name) {
		return nil, false
	}
	address, probe, ok := u.take(r.config.Now(), need.Tokens)
	if !ok {
		return nil, false
	}
	r.budget.earn()
	unread := int64(0)
	if need.Prefix != 0 {
		r.hints.set(need.Prefix, u, true)
	}
	if len(need.Parts) > 0 {
		unread = u.kept.missing(need.Parts)
		u.kept.add(need.Parts, r.config.Tokens(need.Service))
	}
	return &Choice{
		Upstream: u.name,
		Address:  address,
		Busy:     u.busy(),
		Slots:    u.slots(),
		Unread:   unread,
		Missing:  need.Adapter != "" && !u.holds(need),
		tokens:   need.Tokens,
		router:   r,
		target:   u,
		probe:    probe,
	}, true
}

// chooseCached takes a place on the engine that likely holds the prefix: the
// one that a hint names, or the one that all instances agree on by rendezvous
// hashing. It does not if another random candidate is much emptier.
func (r *Router) chooseCached(candidates []*upstream, need *Need) (*Choice, bool) {
	u := r.hints.get(need.Prefix)
	if u == nil || !u.has(need) {
		u = rendezvous(candidates, need.Prefix)
	}
	if u == nil || !r.usable(u, need) {
		return nil, false
	}
	other := candidates[r.config.Random(uint64(len(candidates)))]
	if other != u && r.usable(other, need) && float64(other.free()-u.free()) > slack*float64(u.slots()) {
		return nil, false
	}
	return r.take(u, need)
}

// rendezvous returns the candidate with the highest hash for a key.
func rendezvous(candidates []*upstream, key uint64) *upstream {
	var best *upstream
	var highest uint64
	for _, u := range candidates {
		if hash := mix(u.hash ^ key); best == nil || hash > highest {
			best, highest = u, hash
		}
	}
	return best
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hashString is FNV-1a, alike on all instances.
func hashString(text string) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * 1099511628211
	}
	return hash
}
