package server

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/claimer"
	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/internal/limiter"
	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// passage is the way of one request through the server, by its stages.
type passage struct {
	server  *Server
	writer  http.ResponseWriter
	control *http.ResponseController
	request *http.Request
	started time.Time

	asked
	granted
	tried
	answered
}

// asked is what a request asks for, and what the configuration says of it.
type asked struct {
	id       string
	class    queuer.Class
	deadline time.Time
	// start is when the request must have been sent on, or its caller leaves.
	start time.Time

	// secrets are what the caller showed as credentials.
	secrets []string
	hash    [sha256.Size]byte
	key     configurator.Key
	keyed   bool

	// taken is set once the whole body was read.
	taken      bool
	body       []byte
	completion *completion
	model      configurator.Model
	version    configurator.Version
	adapter    configurator.Adapter
	need       router.Need
	tokens     int64
	estimate   int64

	service configurator.Service
	once    once
	// routed is set if the request goes by route.
	routed bool
	route  configurator.Route
	facts  Facts
}

// granted is what a request holds until it ends.
type granted struct {
	abort   context.CancelCauseFunc
	release context.CancelFunc
	// memory is what its body takes of the bound of all bodies, in bytes.
	memory      int64
	reservation *limiter.Reservation
	claim       *claimer.Claim
	choice      *router.Choice
}

// tried is what became of the attempts.
type tried struct {
	// unknowns counts the attempts of which it is not known whether they ran.
	unknowns int
	result   forwarder.Result
}

// answered is what the caller was told.
type answered struct {
	// begun is set once a part of the answer went to the caller.
	begun   bool
	status  int
	outcome refuser.Outcome
	code    refuser.Code
	cause   error
	detail  string
	writeBy time.Time
}

// begin starts a request: its identity, and the context that ends it.
func (s *Server) begin(w http.ResponseWriter, r *http.Request) *passage {
	p := &passage{
		server:  s,
		writer:  w,
		control: http.NewResponseController(w),
		started: s.config.Now(),
	}
	p.class = queuer.Interactive
	_ = p.control.SetReadDeadline(p.started.Add(s.config.Reading))
	p.secrets = credentials(r)
	p.id = requestID(r.Header.Get(s.config.Face.Identity), p.secrets)
	w.Header().Set(s.config.Face.Identity, p.id)
	ctx, abort := context.WithCancelCause(r.Context())
	p.abort = abort
	p.release = func() { abort(nil) }
	p.request = r.WithContext(ctx)
	return p
}

// limit sets the deadline of the request.
func (p *passage) limit() *refuser.Refusal {
	deadline, class, refused := p.server.deadline(p.request.Header, p.started)
	if refused != nil {
		return refused
	}
	p.class = class
	p.endBy(deadline)
	return nil
}

// endBy ends the request at its deadline.
func (p *passage) endBy(deadline time.Time) {
	p.deadline = deadline
	ctx, release := context.WithDeadlineCause(p.request.Context(), deadline, &refuser.Refusal{
		Code:    refuser.CodeDeadline,
		Outcome: refuser.NotRun,
		Detail:  "the deadline has passed",
	})
	abort := p.abort
	p.release = func() {
		release()
		abort(nil)
	}
	p.request = p.request.WithContext(ctx)
}

// end settles what the request holds and logs it.
func (p *passage) end() {
	p.server.running.remove(p)
	p.release()
	if p.choice != nil {
		p.choice.Done(router.Neutral)
	}
	if p.reservation != nil {
		p.reservation.Settle(p.used())
	}
	p.yield()
	p.unboundWrite()
	p.server.bodies.Add(-p.memory)
	p.log()
}

// used is the number of tokens that the request is charged.
func (p *passage) used() int64 {
	switch {
	case p.outcome == refuser.NotRun || !p.once.sent.Load():
		return 0
	case p.result.Usage:
		return p.result.Prompt + p.result.Generated
	case p.routed:
		return p.tokens
	case p.completion != nil && p.completion.stream:
		return p.estimate + p.result.Generated
	default:
		return p.tokens
	}
}
