package router

import (
	"context"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

const (
	// maxPermitWait bounds the wait for permits that have been asked for.
	maxPermitWait = 200 * time.Millisecond
	// maxResumeWait bounds the wait for a permit to resume a broken stream.
	maxResumeWait = time.Second
	// permitPoll is the time between two looks for a permit that has been asked for.
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

// AwaitPermit takes another permit for the upstream of the choice, for a stream that continues there. It returns false if
// there is none in time.
func (c *Choice) AwaitPermit(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, maxResumeWait)
	defer cancel()
	return c.router.config.AwaitPermit(ctx, c.target.paced())
}
