package forwarder

import (
	"context"
	"errors"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// failure describes a failed attempt, whether it may be retried, and what it says about the upstream's
// health.
type failure struct {
	// code and detail are reported to the caller.
	code   refuser.Code
	detail string
	// unsent is set if the request is known not to have run.
	unsent bool
	// final is set if the request must not be retried.
	final bool
	// neutral is set if the failure says nothing about the upstream's health.
	neutral bool
	// refused is set if the upstream stated that it did not run the request.
	refused bool
	// unloading is set if the upstream refused the request although it has free slots, as an engine does that carries out an
	// order for the model.
	unloading bool
	// notLoaded is set if the upstream has not loaded what the request needs, such as an adapter.
	notLoaded bool
	// unreached is set if no byte can have reached the upstream.
	unreached bool
	// reused is set if the attempt used a connection that had served other requests.
	reused bool
	cause  error
}

// refusedFailure returns the failure of an attempt that the upstream stated not to have run.
func refusedFailure(metadata AnswerMetadata, response *http.Response) *failure {
	busy := response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == ""
	return &failure{
		code:      refuser.CodeNoUpstream,
		detail:    "the upstream refused the request without running it",
		unsent:    true,
		neutral:   true,
		refused:   true,
		unloading: busy && metadata.HasLoad && metadata.Load.Free(),
		notLoaded: response.StatusCode == http.StatusMisdirectedRequest,
	}
}

// Error implements error.
func (f *failure) Error() string { return string(f.code) + ": " + f.detail }

// Unwrap returns the underlying error.
func (f *failure) Unwrap() error { return f.cause }

// refusal converts the last failure into the caller's refusal. Its outcome is
// unknown if any attempt may have run.
func refusal(f *failure, mayHaveRun bool) *refuser.Refusal {
	outcome := refuser.Unknown
	if !mayHaveRun {
		outcome = refuser.NotRun
	}
	return &refuser.Refusal{
		Code:    f.code,
		Outcome: outcome,
		Detail:  f.detail,
		Cause:   f.cause,
	}
}

// contextFailure returns the failure of a request whose context has ended, or nil.
func contextFailure(ctx context.Context) *failure {
	if ctx.Err() == nil {
		return nil
	}
	cause := context.Cause(ctx)
	var timeout *FirstTokenTimeout
	if errors.As(cause, &timeout) {
		return noTokenFailure(cause)
	}
	ended := &failure{
		code:    refuser.CodeStopping,
		detail:  "the caller has gone",
		final:   true,
		neutral: true,
		cause:   cause,
	}
	var refused *refuser.Refusal
	switch {
	case errors.As(cause, &refused):
		ended.code = refused.Code
		ended.detail = refused.Detail
	case errors.Is(cause, context.DeadlineExceeded):
		ended.code = refuser.CodeDeadline
		ended.detail = "the deadline has passed"
	}
	return ended
}

// countDeadline counts a passed deadline against the health of the upstream, which sent nothing until
// then. Other ends of the context, such as a caller that disconnects, do not count against it.
func (f *failure) countDeadline() {
	if f.code == refuser.CodeDeadline {
		f.neutral = false
	}
}

// attemptLog returns the log for a failed attempt of a completion or a call, or nil if logging is disabled.
func (f *Forwarder) attemptLog(request string, result *Result, failed *failure) *logrus.Entry {
	if f.config.Log == nil {
		return nil
	}
	return f.config.Log.WithFields(logrus.Fields{
		"request":  request,
		"upstream": result.Upstream,
		"attempt":  result.Attempts,
		"status":   result.Status,
		"final":    failed.final,
		"detail":   failed.detail,
		"cause":    failed.cause,
	})
}
