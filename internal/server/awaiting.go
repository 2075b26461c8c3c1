package server

import (
	"context"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

// awaitPause is the time before a request that an engine refused without running it is queued again, doubled each time: an
// engine that unloads the model refuses it until the platform's list shows that.
const awaitPause = 100 * time.Millisecond

// awaitFunction returns awaitUpstream for requests to models, and nil for others: instances of a service are alike.
func (e *exchange) awaitFunction() func(context.Context) (*router.Choice, error) {
	if e.need.Checkpoint == "" {
		return nil
	}
	return e.awaitUpstream
}

// awaitUpstream queues the request again after an engine refused it without running it, and holds a slot once an engine has
// room and the adapter. It returns a refusal once the server is stopping.
func (e *exchange) awaitUpstream(ctx context.Context) (*router.Choice, error) {
	e.dispatch.requeue()
	if e.server.refusesWaiting() {
		return nil, e.server.stoppingRefusal()
	}
	ctx, cancel := context.WithDeadline(ctx, e.startBy)
	defer cancel()
	waiter.Pause(ctx, awaitPause<<e.awaited)
	e.awaited++
	e.need.Exclude = nil
	if err := e.place(ctx, e.ticket()); err != nil {
		return nil, err
	}
	if err := e.loadMissingAdapter(ctx); err != nil {
		return nil, err
	}
	choice := e.choice
	e.choice = nil
	e.dispatch.forward()
	return choice, nil
}
