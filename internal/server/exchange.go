package server

import (
	"context"
	"crypto/sha256"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/claimer"
	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/internal/limiter"
	"github.com/buckthorngap/buckthorngap/internal/quarantiner"
	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// exchange holds the state of one request and its response while the server handles it.
type exchange struct {
	server  *Server
	writer  http.ResponseWriter
	control *http.ResponseController
	request *http.Request
	started time.Time

	requestInfo
	resources
	attempts
	response
}

// requestInfo holds what a request contains and the configuration entries that it resolves to.
type requestInfo struct {
	id       string
	class    queuer.Class
	deadline time.Time
	// startBy is the time by which a routed request must have been sent to an upstream; after it, the caller gives up.
	startBy time.Time

	// secrets are all credentials in the request's header.
	secrets []string
	// hash is the hash of the first secret. key is the key that has this hash; it is set together with authenticated
	// once the lookup succeeded.
	hash          [sha256.Size]byte
	key           configurator.Key
	authenticated bool

	// bodyRead is set once the complete body was read.
	bodyRead   bool
	body       []byte
	completion *completion
	model      configurator.Model
	version    configurator.Version
	adapter    configurator.Adapter
	need       router.Need
	// tokens is the number of tokens reserved from the team's limit. promptEstimate is the estimated length of
	// the prompt.
	tokens         int64
	promptEstimate int64

	service  configurator.Service
	dispatch dispatch
	// admitted is set once the fields above are final and the request only needs an upstream.
	admitted atomic.Bool
	// routed is set if the request is forwarded by a route of the configuration.
	routed bool
	route  configurator.Route
	facts  Facts
	// recognized is what a routed request is recognized by when upstreams crash under it.
	recognized quarantiner.Request
}

// resources holds what a request holds until it ends.
type resources struct {
	// abort ends the request's context with a cause; release ends it when the request is done.
	abort   context.CancelCauseFunc
	release context.CancelFunc
	// bodyBytes is the memory reserved for the body out of Config.BodyMemoryBytes, in bytes.
	bodyBytes   int64
	reservation *limiter.Reservation
	claim       *claimer.Claim
	choice      *router.Choice
}

// attempts holds the results of the attempts to run the request.
type attempts struct {
	// unknownAttempts counts the attempts that may or may not have run.
	unknownAttempts int
	// awaited is how often the request was queued again because an engine had refused it without running it.
	awaited int
	result  forwarder.Result
}

// response holds what was sent to the caller.
type response struct {
	// responseStarted is set once a part of the response was written to the caller.
	responseStarted bool
	status          int
	outcome         refuser.Outcome
	code            refuser.Code
	cause           error
	detail          string
	writeDeadline   time.Time
}

// begin creates the exchange of a request, with its identity and a context that the server can cancel. The context has ended if
// the server is stopping.
func (s *Server) begin(w http.ResponseWriter, r *http.Request) *exchange {
	e := &exchange{
		server:  s,
		writer:  w,
		control: http.NewResponseController(w),
		started: s.config.Now(),
	}
	e.class = queuer.Interactive
	_ = e.control.SetReadDeadline(e.started.Add(s.config.ReadTimeout))
	e.secrets = s.config.HeaderFormat.credentials(r)
	e.id = requestID(r.Header.Get(s.config.HeaderFormat.Identity), e.secrets)
	w.Header().Set(s.config.HeaderFormat.Identity, e.id)
	ctx, abort := context.WithCancelCause(r.Context())
	e.abort = abort
	e.release = func() { abort(nil) }
	e.request = r.WithContext(ctx)
	s.active.add(e)
	if s.stopping.Load() {
		e.abort(s.stoppingRefusal())
	}
	return e
}

// setDeadlineAndClass reads the deadline and priority class from the header and applies them.
func (e *exchange) setDeadlineAndClass() *refuser.Refusal {
	deadline, class, refusal := e.server.parseDeadline(e.request.Header, e.started)
	if refusal != nil {
		return refusal
	}
	e.class = class
	e.applyDeadline(deadline)
	return nil
}

// applyDeadline ends the request's context at the deadline.
func (e *exchange) applyDeadline(deadline time.Time) {
	e.deadline = deadline
	ctx, release := context.WithDeadlineCause(e.request.Context(), deadline, &refuser.Refusal{
		Code:    refuser.CodeDeadline,
		Outcome: refuser.NotRun,
		Detail:  "the deadline has passed",
	})
	abort := e.abort
	e.release = func() {
		release()
		abort(nil)
	}
	e.request = e.request.WithContext(ctx)
}

// end releases what the request holds, settles its reservation and logs it.
func (e *exchange) end() {
	e.server.active.remove(e)
	e.release()
	if e.choice != nil {
		e.choice.Done(router.Neutral)
	}
	if e.reservation != nil {
		e.reservation.Settle(e.chargedTokens())
	}
	e.finishClaim()
	e.clearWriteDeadline()
	e.server.bodyMemory.Add(-e.bodyBytes)
	e.logRequest()
}

// chargedTokens returns the number of tokens that the team is charged: none if the request did not run, the usage that
// the engine reported, or else an estimate.
func (e *exchange) chargedTokens() int64 {
	switch {
	case e.outcome == refuser.NotRun || !e.dispatch.sent.Load():
		return 0
	case e.result.HasUsage:
		return e.result.PromptTokens + e.result.GeneratedTokens
	case e.routed:
		return e.tokens
	case e.completion != nil && e.completion.stream:
		return e.promptEstimate + e.result.GeneratedTokens
	default:
		return e.tokens
	}
}
