package server

import (
	"errors"

	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// limitsReached is the detail of refusals because of limits that upstreams state.
const limitsReached = "the limits of all upstreams of the request are reached"

// RefuseLimited returns a refusal for a request in the queue if the limits that all its upstreams state leave no room
// for it before its deadline, and nil otherwise.
func (s *Server) RefuseLimited(ticket queuer.Ticket) *refuser.Refusal {
	return s.refuseLimited(ticket, 0)
}

// refuseLimited is RefuseLimited for a request that has a number of others ahead of it.
func (s *Server) refuseLimited(ticket queuer.Ticket, ahead int) *refuser.Refusal {
	need, ok := ticket.Value.(router.Need)
	if !ok || s.config.LimitEnd == nil {
		return nil
	}
	at, limited := s.config.LimitEnd(need, ahead)
	if !limited || at.Before(ticket.Deadline) {
		return nil
	}
	refusal := newRefusal(refuser.CodeNoUpstream, limitsReached)
	refusal.RetryAt = s.config.RetryTime(need, at)
	return refusal
}

// refuseIfLimited refuses a request at once that would wait for limits in vain.
func (s *Server) refuseIfLimited(ticket queuer.Ticket) *refuser.Refusal {
	if s.config.Waiting == nil {
		return nil
	}
	ahead, _ := s.config.Waiting(ticket.Model)
	return s.refuseLimited(ticket, ahead)
}

// withLimitRetry adds to a refusal without running when the caller should come back, if the refusal does not state it
// and the limits of the upstreams decide that. It returns any other error unchanged.
func (e *exchange) withLimitRetry(err error) error {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) && refusal.Outcome == refuser.NotRun && refusal.RetryAt.IsZero() {
		e.setLimitRetry(refusal)
	}
	return err
}

// setLimitRetry sets when the caller of a refused request should come back, if the limits of its upstreams decide that.
func (e *exchange) setLimitRetry(refusal *refuser.Refusal) {
	config := &e.server.config
	if config.LimitEnd == nil {
		return
	}
	at, limited := config.LimitEnd(e.need, 0)
	if !limited {
		return
	}
	refusal.RetryAt = config.RetryTime(e.need, at)
	if refusal.Code == refuser.CodeDeadline && config.Now().Before(e.deadline) {
		// Only the time to wait for limits has passed.
		refusal.Code = refuser.CodeNoUpstream
		refusal.Detail = limitsReached
	}
}
