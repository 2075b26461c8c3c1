package router

import "time"

// CooldownEnd reports whether all candidates for a request have an open circuit or want no requests, and when the first of
// them may get one. It returns false if there are no candidates.
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

// cooldown returns the end of the circuit's cooldown or of the time in which the upstream wants no requests, and whether it is
// still to come.
func (u *upstream) cooldown(now time.Time) (time.Time, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	until := u.openUntil
	if u.pause.until.After(until) {
		until = u.pause.until
	}
	return until, now.Before(until)
}
