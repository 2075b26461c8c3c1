package router

import (
	"context"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

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

const (
	// maxPermitWait bounds the wait for permits that have been asked for.
	maxPermitWait = 200 * time.Millisecond
	// permitPoll is the time between two looks for such a permit.
	permitPoll = 2 * time.Millisecond
)

// AwaitService is like PickService without a pin, but waits for permits that have been asked for while no other
// instance of the service accepts the call.
func (r *Router) AwaitService(ctx context.Context, service string) (*Choice, bool) {
	ctx, cancel := context.WithTimeout(ctx, maxPermitWait)
	defer cancel()
	need := Need{
		Service: service,
	}
	var choice *Choice
	ok := false
	waiter.Poll(ctx, permitPoll, func() bool {
		choice, ok = r.PickService(service, "", nil)
		return ok || !r.asksForPermit(&need)
	})
	return choice, ok
}

// asksForPermit reports whether a permit for an upstream that could run the request has been asked for.
func (r *Router) asksForPermit(need *Need) bool {
	for _, u := range r.index.Load().candidates(need) {
		if r.config.LimitState(u.paced()).Asking {
			return true
		}
	}
	return false
}

// maxResumeWait bounds the wait for a permit to resume a broken stream.
const maxResumeWait = time.Second

// AwaitPermit takes another permit for the upstream of the choice, for a stream that continues there. It returns false if
// there is none in time.
func (c *Choice) AwaitPermit(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, maxResumeWait)
	defer cancel()
	return c.router.config.AwaitPermit(ctx, c.target.paced())
}
