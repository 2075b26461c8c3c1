package server

import (
	"context"

	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// enqueue records the demand of the request and waits in the queue until an upstream has room; a request that cannot be
// served in time is refused at once. Before and after the wait it checks that nothing the request needs was withdrawn.
func (s *Server) enqueue(ctx context.Context, request any) (any, error) {
	e := request.(*exchange)
	e.admitted.Store(true)
	if err := e.recheck(); err != nil {
		return nil, err
	}
	ticket := e.ticket()
	s.config.AddDemand(ticket)
	return e, e.place(ctx, ticket)
}

// place waits in the queue until an upstream has room and holds a slot there; a request that cannot be served in time is
// refused at once.
func (e *exchange) place(ctx context.Context, ticket queuer.Ticket) error {
	s := e.server
	if refusal := e.refuseIfNotReady(ctx); refusal != nil {
		return refusal
	}
	if refusal := s.refuseIfLimited(ticket); refusal != nil {
		return refusal
	}
	began := s.config.Now()
	placement, err := s.config.Enter(ctx, ticket)
	if err != nil {
		e.logNotPlaced(began)
		return e.withLimitRetry(err)
	}
	choice, ok := placement.(*router.Choice)
	if !ok {
		return newRefusal(refuser.CodeNoUpstream, "no upstream has room")
	}
	e.choice = choice
	e.logPlaced(began)
	return e.recheck()
}

// ticket returns the request's entry for the queue. A routed request waits until startBy only, and is queued under its
// service and checkpoint.
func (e *exchange) ticket() queuer.Ticket {
	ticket := queuer.Ticket{
		ID:       e.id,
		Team:     e.key.Team,
		Key:      e.key.Name,
		Model:    e.model.Name,
		Version:  e.version.Name,
		Adapter:  e.adapter.Name,
		Class:    e.class,
		Tokens:   e.tokens,
		Deadline: e.deadline,
		Value:    e.need,
	}
	if e.routed {
		ticket.Deadline = e.startBy
		ticket.Model = e.need.Service + "/" + e.need.Checkpoint + e.domainsKey()
	}
	if limited := e.server.config.Limited; limited != nil && limited(e.need) {
		now := e.server.config.Now()
		ticket.Deadline = now.Add(ticket.Deadline.Sub(now) / limitWaitDivisor)
	}
	return ticket
}

// limitWaitDivisor sets how long a request waits for upstreams with limits: its time divided by it. Requests are placed
// by their deadlines, so that while more come than the limits allow, all would be placed in the last moment.
const limitWaitDivisor = 2

// recheck returns an error if the request must no longer be sent to an upstream: what it was admitted for was
// withdrawn, or its context ended.
func (e *exchange) recheck() error {
	if refusal := e.refuseIfWithdrawn(e.server.config.Snapshot()); refusal != nil {
		return refusal
	}
	if refusal := e.refuseIfQuarantined(); refusal != nil {
		return refusal
	}
	return context.Cause(e.request.Context())
}

// refuseIfWithdrawn returns a refusal if the key of the request, or for a completion request its version or adapter, was
// withdrawn since it was admitted.
func (e *exchange) refuseIfWithdrawn(snapshot *configurator.Snapshot) *refuser.Refusal {
	switch {
	case e.authenticated && e.keyInvalidated(snapshot):
		return newRefusal(refuser.CodeWithdrawn, "the key was withdrawn")
	case e.completion == nil:
		return nil
	case snapshot.VersionWithdrawn(e.version):
		return newRefusal(refuser.CodeWithdrawn, "the version of the model was withdrawn")
	case e.adapter.Name != "" && snapshot.AdapterWithdrawn(e.adapter):
		return newRefusal(refuser.CodeWithdrawn, "the adapter was withdrawn")
	default:
		return nil
	}
}

// keyInvalidated reports whether the key was removed, moved to another team or withdrawn since it authenticated the
// request.
func (e *exchange) keyInvalidated(snapshot *configurator.Snapshot) bool {
	key, ok := snapshot.KeyByHash(e.hash)
	return !ok || key.Team != e.key.Team || snapshot.KeyWithdrawn(key)
}
