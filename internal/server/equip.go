package server

import (
	"context"
	"errors"
	"slices"

	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// equip has the adapter loaded that the chosen engine lacks. If that engine
// cannot have it now, another one is tried, and if there is none, the request
// waits until the engine is said to take orders again.
func (p *passage) equip(ctx context.Context) error {
	for try := 1; p.choice.AdapterMissing; try++ {
		err := p.server.config.Prepare(ctx, p.choice, p.need)
		if err == nil {
			return nil
		}
		if try >= equipTries || ctx.Err() != nil || !p.change(ctx, err) {
			return err
		}
	}
	return nil
}

// equipTries is how often an engine may be asked to load an adapter for one
// request.
const equipTries = 4

// change gives the place of a request up that an engine refused an adapter, and
// takes one at another engine, or later at any. It reports whether there is one.
func (p *passage) change(ctx context.Context, refused error) bool {
	p.choice.Done(router.Neutral)
	need := p.need
	need.Exclude = append(slices.Clone(need.Exclude), p.choice.Upstream)
	next, ok := p.server.config.Place(need)
	if !ok && p.await(ctx, refused) {
		need.Exclude = nil
		next, ok = p.server.config.Place(need)
	}
	if ok {
		p.need.Exclude = need.Exclude
		p.choice = next
	}
	return ok
}

// await waits until what was refused is said to be possible. It reports false
// if that is not known or too late for the caller.
func (p *passage) await(ctx context.Context, refused error) bool {
	var refusal *refuser.Refusal
	if !errors.As(refused, &refusal) || refusal.RetryAt.IsZero() || !refusal.RetryAt.Before(p.start) {
		return false
	}
	return waiter.Pause(ctx, refusal.RetryAt.Sub(p.server.config.Now()))
}

// again takes a place at the same upstream once more, which has refused the
// request without running it, after what it lacks was loaded.
func (p *passage) again(ctx context.Context, upstream string) (*router.Choice, bool) {
	if p.need.Adapter == "" || p.server.config.Return == nil {
		return nil, false
	}
	choice, ok := p.server.config.Return(upstream, p.need)
	if !ok {
		return nil, false
	}
	if err := p.server.config.Prepare(ctx, choice, p.need); err != nil {
		choice.Done(router.Neutral)
		return nil, false
	}
	return choice, true
}
