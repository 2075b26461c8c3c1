package auditor

import "time"

// replay is the state of the token bucket during a replay.
type replay struct {
	limit Limit
	level float64
	at    time.Time
}

// applies reports whether a limit applies to a spend at a time.
func (r *replay) applies(limit Limit, at time.Time) bool {
	raised := limit.Rate >= r.limit.Rate && limit.Burst >= r.limit.Burst
	return limit.From.Before(at) || raised && limit.From.Equal(at)
}

// refill refills the bucket up to a time.
func (r *replay) refill(now time.Time) {
	r.level = min(r.limit.Burst, r.level+r.limit.Rate*now.Sub(r.at).Seconds())
	r.at = now
}

// setLimit refills the bucket up to the start of a new limit, and then applies it.
func (r *replay) setLimit(limit Limit) {
	r.refill(limit.From)
	r.limit = limit
	r.level = min(r.level, limit.Burst)
}
