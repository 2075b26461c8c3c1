package server

import (
	"context"

	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// enter waits for an engine, and checks again that the request may run.
func (s *Server) enter(ctx context.Context, request any) (any, error) {
	p := request.(*passage)
	s.running.add(p)
	if err := p.check(); err != nil {
		return nil, err
	}
	ticket := p.ticket()
	s.config.Want(ticket)
	if refused := p.futile(ctx); refused != nil {
		return nil, refused
	}
	began := s.config.Now()
	placement, err := s.config.Enter(ctx, ticket)
	if err != nil {
		p.explainWait(began)
		return nil, err
	}
	choice, ok := placement.(*router.Choice)
	if !ok {
		return nil, refuse(refuser.CodeNoUpstream, "no upstream has room")
	}
	p.choice = choice
	p.explainPlace(began)
	return p, p.check()
}

// ticket is what the queue needs to know of the request.
func (p *passage) ticket() queuer.Ticket {
	ticket := queuer.Ticket{
		ID:       p.id,
		Team:     p.key.Team,
		Key:      p.key.Name,
		Model:    p.model.Name,
		Version:  p.version.Name,
		Adapter:  p.adapter.Name,
		Class:    p.class,
		Tokens:   p.tokens,
		Deadline: p.deadline,
		Value:    p.need,
	}
	if p.routed {
		ticket.Deadline = p.start
		ticket.Model = p.need.Service + "/" + p.need.Checkpoint
	}
	return ticket
}

// check returns a refusal if the request must not be sent any more.
func (p *passage) check() error {
	if refused := p.withdrawn(p.server.config.Snapshot()); refused != nil {
		return refused
	}
	return context.Cause(p.request.Context())
}

// withdrawn tells whether what the request was admitted for was withdrawn since.
func (p *passage) withdrawn(snapshot *configurator.Snapshot) *refuser.Refusal {
	switch {
	case p.keyed && p.lost(snapshot):
		return refuse(refuser.CodeWithdrawn, "the key was withdrawn")
	case p.completion == nil:
		return nil
	case snapshot.VersionWithdrawn(p.version):
		return refuse(refuser.CodeWithdrawn, "the version of the model was withdrawn")
	case p.adapter.Name != "" && snapshot.AdapterWithdrawn(p.adapter):
		return refuse(refuser.CodeWithdrawn, "the adapter was withdrawn")
	default:
		return nil
	}
}

// lost tells whether the key is no longer what it was.
func (p *passage) lost(snapshot *configurator.Snapshot) bool {
	key, ok := snapshot.KeyByHash(p.hash)
	return !ok || key.Team != p.key.Team || snapshot.KeyWithdrawn(key)
}
