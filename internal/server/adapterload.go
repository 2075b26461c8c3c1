package server

import (
	"context"
	"errors"
	"slices"

	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// loadMissingAdapter loads the request's adapter on the chosen engine if it is missing there. If that engine cannot load
// it now, another engine is tried; if there is none, the request waits until the RetryAt of the engine's refusal and
// tries again.
func (e *exchange) loadMissingAdapter(ctx context.Context) error {
	for attempt := 1; e.choice.AdapterMissing; attempt++ {
		err := e.server.config.LoadAdapter(ctx, e.choice, e.need)
		if err == nil {
			return nil
		}
		if attempt >= maxLoadAttempts || ctx.Err() != nil || !e.switchUpstream(ctx, err) {
			return err
		}
	}
	return nil
}

// maxLoadAttempts limits how many times engines are ordered to load an adapter for one request.
const maxLoadAttempts = 4

// switchUpstream releases the slot at an engine that refused to load the adapter and reserves one at another engine; if
// no other engine has room, it waits and then considers every engine again. It reports whether a slot was reserved.
func (e *exchange) switchUpstream(ctx context.Context, err error) bool {
	e.choice.Done(router.Neutral)
	need := e.need
	need.Exclude = append(slices.Clone(need.Exclude), e.choice.Upstream)
	next, ok := e.server.config.Place(need)
	if !ok && e.waitUntilRetry(ctx, err) {
		need.Exclude = nil
		next, ok = e.server.config.Place(need)
	}
	if ok {
		e.need.Exclude = need.Exclude
		e.choice = next
	}
	return ok
}

// waitUntilRetry waits until the refusal's RetryAt. It reports false if RetryAt is not known, is too late for the
// caller or the context ends first.
func (e *exchange) waitUntilRetry(ctx context.Context, err error) bool {
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) || refusal.RetryAt.IsZero() || !refusal.RetryAt.Before(e.startBy) {
		return false
	}
	return waiter.Pause(ctx, refusal.RetryAt.Sub(e.server.config.Now()))
}

// reacquire reserves a slot at the same upstream again, after it refused the request without running it because it
// lacked the adapter. The adapter is loaded before reacquire returns.
func (e *exchange) reacquire(ctx context.Context, upstream string) (*router.Choice, bool) {
	if e.need.Adapter == "" || e.server.config.Reacquire == nil {
		return nil, false
	}
	choice, ok := e.server.config.Reacquire(upstream, e.need)
	if !ok {
		return nil, false
	}
	if err := e.server.config.LoadAdapter(ctx, choice, e.need); err != nil {
		choice.Done(router.Neutral)
		return nil, false
	}
	return choice, true
}
