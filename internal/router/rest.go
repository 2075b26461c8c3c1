package router

import "time"

// Rest tells whether all upstreams that hold what a request needs are left
// alone after failures, and until when at least. It is false if none holds it.
func (r *Router) Rest(need Need) (time.Time, bool) {
	candidates := r.index.Load().candidates(&need)
	now := r.config.Now()
	var earliest time.Time
	for _, u := range candidates {
		until, rests := u.rest(now)
		if !rests {
			return time.Time{}, false
		}
		if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	return earliest, len(candidates) > 0
}

// rest is until when the upstream is left alone.
func (u *upstream) rest(now time.Time) (time.Time, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.until, now.Before(u.until)
}
