package server

import (
	"context"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

// startLoad starts the load of the request's model. While the load cannot begin, but may soon, as when the engine carries out
// another order, it waits rather than have the caller come again. It returns when the model will be ready and true, or when
// the load may be tried again.
func (e *exchange) startLoad(ctx context.Context) (time.Time, bool) {
	config := &e.server.config
	for {
		at, loading := config.StartLoad(ctx, e.need)
		if loading || at.IsZero() || !at.Before(e.loadBy()) {
			return at, loading
		}
		if !waiter.Pause(ctx, max(minLoadPause, at.Sub(config.Now()))) {
			return at, false
		}
		if config.CountReady(e.need) > 0 {
			return config.Now(), true
		}
	}
}

// minLoadPause is the time between two attempts to start the load of a request's model.
const minLoadPause = 25 * time.Millisecond

// loadWaitDivisor sets how long a request waits for the start of its model's load: its route's objective divided by it. What
// cannot be served is refused while its caller can still go elsewhere.
const loadWaitDivisor = 8

// loadBy returns when the load of the request's model has to have begun.
func (e *exchange) loadBy() time.Time {
	if bound := e.started.Add(e.route.Objective / loadWaitDivisor); e.route.Objective > 0 && bound.Before(e.startBy) {
		return bound
	}
	return e.startBy
}
