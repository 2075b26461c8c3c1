package auditor

import "time"

// replay is the state of the token bucket during a replay.
type replay struct {
	limit Limit
	// level is the number of tokens in the bucket at the time updated; negative if it is overdrawn.
	level   float64
	updated time.Time
}

// applies reports whether a limit is in force for a spend at the given time.
func (r *replay) applies(limit Limit, at time.Time) bool {
	raised := limit.Rate >= r.limit.Rate && limit.Burst >= r.limit.Burst
	return limit.From.Before(at) || raised && limit.From.Equal(at)
}

// refill adds the tokens gained up to now.
func (r *replay) refill(now time.Time) {
	r.level = min(r.limit.Burst, r.level+r.limit.Rate*now.Sub(r.updated).Seconds())
	r.updated = now
}

// setLimit refills the bucket up to the start of a new limit, and then applies it.
func (r *replay) setLimit(limit Limit) {
	r.refill(limit.From)
	r.limit = limit
	r.level = min(r.level, limit.Burst)
}
