package forwarder

import (
	"context"
	"errors"
	"net/http"

	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// Completion is a request for a model. It may be retried until its first token has
// been sent to the caller.
type Completion struct {
	// Request is the identity of the request in logs.
	Request string
	// Path is the path of the request on the engine.
	Path string
	// Body is the body that is sent to the engine, without credentials.
	Body []byte
	// Stream is set if the answer is a stream of server-sent events.
	Stream bool
	// IncludeUsage is set if the caller requested the event that states the token usage of a stream.
	IncludeUsage bool
	// Class is the priority class, "interactive" or "overnight".
	Class string
	// Need is what the request requires of the engine of a retry.
	Need router.Need
	// Choice is the slot on the engine of the first attempt.
	Choice *router.Choice
	// Check returns a refusal if the request must not be sent any more.
	Check func() error
	// WriteAnswer delivers the complete answer of a request without Stream.
	WriteAnswer func(answer []byte) error
	// WriteEvent delivers one server-sent event including the terminating blank line.
	WriteEvent func(event []byte) error
}

// Complete sends a request to an engine, retrying it on other engines. It returns a
// *refuser.Refusal unless the complete answer was delivered.
func (f *Forwarder) Complete(ctx context.Context, c *Completion) (Result, error) {
	result := Result{}
	choice := c.Choice
	mayHaveRun := false
	for {
		result.Attempts++
		result.Upstream = choice.Upstream
		failed := f.complete(ctx, c, choice, &result)
		choice.Done(health(failed))
		if failed == nil {
			return result, nil
		}
		if log := f.attemptLog(c.Request, &result, failed); log != nil {
			log.Info("completion.attempt")
		}
		mayHaveRun = mayHaveRun || !failed.unsent
		if failed.final || result.Attempts >= f.config.MaxAttempts || !f.config.Retry() {
			return result, refusal(failed, mayHaveRun)
		}
		if err := c.Check(); err != nil {
			return result, checkRefusal(err, mayHaveRun)
		}
		c.Need.Exclude = append(c.Need.Exclude, choice.Upstream)
		next, ok := f.config.Pick(c.Need)
		if !ok {
			return result, refusal(failed, mayHaveRun)
		}
		choice = next
	}
}

// health returns what an attempt says about the health of its upstream.
func health(failed *failure) router.Result {
	switch {
	case failed == nil:
		return router.Good
	case failed.neutral:
		return router.Neutral
	default:
		return router.Bad
	}
}

// checkRefusal returns the refusal of a check, with the outcome of the attempts so far.
func checkRefusal(err error, mayHaveRun bool) *refuser.Refusal {
	checked := refusal(&failure{
		code:   refusalCode(err),
		detail: err.Error(),
		cause:  err,
	}, mayHaveRun)
	var cause *refuser.Refusal
	if errors.As(err, &cause) {
		checked.Detail, checked.RetryAt = cause.Detail, cause.RetryAt
	}
	return checked
}

// complete makes one attempt of a completion. A failure during delivery cancels the
// request at the engine.
func (f *Forwarder) complete(ctx context.Context, c *Completion, choice *router.Choice, result *Result) *failure {
	a := newAttempt(c.Request)
	a.repeated = result.Attempts > 1
	ctx, timer := f.newFirstTokenTimer(ctx, c, result)
	defer timer.release()
	response, err := f.send(ctx, choice, a, &outgoingRequest{
		method:  http.MethodPost,
		address: choice.Address,
		path:    c.Path,
		header: http.Header{
			"Content-Type": []string{"application/json"},
			headerPriority: []string{c.Class},
			headerRequest:  []string{a.id},
		},
		body: c.Body,
	})
	if err != nil {
		return f.failRoundTrip(ctx, a, choice, err)
	}
	result.Status = response.StatusCode
	if failed := f.checkAnswer(a, choice, response); failed != nil {
		_ = response.Body.Close()
		return failed
	}
	failed := f.deliver(ctx, c, choice, a, timer, response, result)
	if failed != nil {
		f.canceller.enqueue(choice.Address, a.id)
	}
	return failed
}

// deliver passes an accepted answer to the caller, as a stream or in one piece.
func (f *Forwarder) deliver(ctx context.Context, c *Completion, choice *router.Choice, a *attempt, timer *firstTokenTimer, response *http.Response, result *Result) *failure {
	if !c.Stream {
		defer func() { _ = response.Body.Close() }()
		return f.deliverAnswer(ctx, c, response, result)
	}
	r := &relay{
		forwarder:  f,
		completion: c,
		choice:     choice,
		attempt:    a,
		id:         []byte(a.id),
		timer:      timer,
		result:     result,
	}
	return r.deliver(ctx, response)
}

// failRoundTrip returns the failure of an attempt that got no answer, and cancels the request at the
// engine unless it is known not to have run.
func (f *Forwarder) failRoundTrip(ctx context.Context, a *attempt, choice *router.Choice, err error) *failure {
	failed := f.roundTripFailure(ctx, a, "the upstream did not answer", err)
	if !failed.unsent {
		f.canceller.enqueue(choice.Address, a.id)
	}
	return failed
}

// checkAnswer returns a failure for an answer to another request or one that reports
// an error, and nil for an answer to deliver.
func (f *Forwarder) checkAnswer(a *attempt, choice *router.Choice, response *http.Response) *failure {
	if failed := f.checkIdentity(a, choice, response); failed != nil {
		return failed
	}
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		return nil
	case refusedWithoutRunning(a, response):
		return &failure{
			code:    refuser.CodeNoUpstream,
			detail:  "the engine refused the request without running it",
			unsent:  true,
			neutral: true,
		}
	case status == http.StatusBadRequest || status == http.StatusUnprocessableEntity || status == http.StatusRequestEntityTooLarge:
		return &failure{
			code:    refuser.CodeBadRequest,
			detail:  "the engine rejected the request",
			final:   true,
			neutral: true,
		}
	default:
		return &failure{
			code:   refuser.CodeUpstreamFailed,
			detail: "the engine failed",
		}
	}
}

// refusedWithoutRunning reports whether the upstream states that it did not run this exact attempt.
func refusedWithoutRunning(a *attempt, response *http.Response) bool {
	status := response.StatusCode
	stated := refuser.PromisesNotRun(status) && response.Header.Get(headerNotRun) == "true" || status == http.StatusMisdirectedRequest
	return stated && response.Header.Get(headerRequest) == a.id
}

// checkIdentity returns a failure for an answer that carries the identity of another
// request. An answer without an identity is accepted only from an upstream that
// has never sent one.
func (f *Forwarder) checkIdentity(a *attempt, choice *router.Choice, response *http.Response) *failure {
	id := response.Header.Get(headerRequest)
	if id == a.id {
		if _, recorded := f.echoes.Load(choice.Upstream); !recorded {
			f.echoes.Store(choice.Upstream, true)
		}
		return nil
	}
	_, echoes := f.echoes.Load(choice.Upstream)
	if f.config.AcceptAnyIdentity || id == "" && !echoes {
		return nil
	}
	return &failure{
		code:   refuser.CodeUpstreamFailed,
		detail: "the upstream sent the answer of another request",
	}
}

// deliverAnswer reads an answer to its end before any of it is delivered, within the limits of size and memory.
func (f *Forwarder) deliverAnswer(ctx context.Context, c *Completion, response *http.Response, result *Result) *failure {
	answer := &wholeAnswer{
		memory: &f.memory,
	}
	defer answer.release()
	err := answer.read(response.Body, f.config.MaxAnswerBytes)
	if ended := contextFailure(ctx); ended != nil {
		return ended
	}
	if err == nil {
		err = result.readUsage(answer.data)
	}
	if err != nil {
		return &failure{
			code:   refuser.CodeUpstreamFailed,
			detail: "the answer of the engine broke off",
			cause:  err,
		}
	}
	result.FirstTokenAt = f.config.Now()
	if err := c.WriteAnswer(answer.data); err != nil {
		return callerGone(err)
	}
	return nil
}
