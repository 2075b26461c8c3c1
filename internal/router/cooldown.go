package router

import "time"

// CooldownEnd reports whether the circuits of all candidates for a request are open, and
// when the first cooldown ends. It returns false if there are no candidates.
func (r *Router) CooldownEnd(need Need) (time.Time, bool) {
	candidates := r.index.Load().candidates(&need)
	now := r.config.Now()
	var earliest time.Time
	for _, u := range candidates {
		until, open := u.cooldown(now)
		if !open {
			return time.Time{}, false
		}
		if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	return earliest, len(candidates) > 0
}

// cooldown returns the end of the circuit's cooldown, and whether it is still open.
func (u *upstream) cooldown(now time.Time) (time.Time, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.openUntil, now.Before(u.openUntil)
}
