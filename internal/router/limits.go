package router

import "time"

// LimitEnd reports whether all upstreams that could run a request have used up the limits that they state, and
// returns when a request could be sent that has a number of requests of this instance ahead of it.
func (r *Router) LimitEnd(need Need, ahead int) (time.Time, bool) {
	now := r.config.Now()
	next, rate, _ := r.limits(now, &need)
	if rate == 0 || ahead == 0 && !next.After(now) {
		return time.Time{}, false
	}
	if next.Before(now) {
		next = now
	}
	return next.Add(time.Duration(float64(ahead) / rate * float64(time.Second))), true
}

// Limited reports whether all upstreams that could run a request have stated limits.
func (r *Router) Limited(need Need) bool {
	_, rate, _ := r.limits(r.config.Now(), &need)
	return rate > 0
}

// RetryTime returns when a caller should come back whose request is refused because of limits: not before the
// given time.
func (r *Router) RetryTime(need Need, earliest time.Time) time.Time {
	_, _, first := r.limits(r.config.Now(), &need)
	if first == nil {
		return earliest
	}
	return r.config.RetryTime(first.paced(), earliest)
}

// limits returns when the first of the upstreams that could run a request admits one, that upstream, and the sum of
// their limits in requests per second. The sum is 0 if one of them has no limit. Upstreams with an open circuit do
// not count.
func (r *Router) limits(now time.Time, need *Need) (next time.Time, rate float64, first *upstream) {
	for _, u := range r.index.Load().candidates(need) {
		if _, open := u.cooldown(now); open {
			continue
		}
		state := r.config.LimitState(u.paced())
		if !state.Limited {
			return time.Time{}, 0, nil
		}
		rate += state.Rate
		if first == nil || state.Next.Before(next) {
			next, first = state.Next, u
		}
	}
	return next, rate, first
}
