package forwarder

import (
	"context"
	"errors"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// failure is a failed attempt.
type failure struct {
	// code and detail are for the caller.
	code   refuser.Code
	detail string
	// unsent is set if the request provably did not run.
	unsent bool
	// final is set if another attempt will not help.
	final bool
	// neutral is set if the failure says nothing of the upstream's health.
	neutral bool
	// lacking is set if the upstream does not have what the request needs.
	lacking bool
	// unreached is set if no byte can have reached the upstream.
	unreached bool
	// reused is set if the attempt went over a connection that served others before.
	reused bool
	cause  error
}

// Error implements error.
func (f *failure) Error() string { return string(f.code) + ": " + f.detail }

// Unwrap returns the underlying error.
func (f *failure) Unwrap() error { return f.cause }

// refusal turns the last failure into what the caller is told.
func refusal(f *failure, ran bool) *refuser.Refusal {
	outcome := refuser.Unknown
	if !ran {
		outcome = refuser.NotRun
	}
	return &refuser.Refusal{
		Code:    f.code,
		Outcome: outcome,
		Detail:  f.detail,
		Cause:   f.cause,
	}
}

// interrupted returns the failure of a request whose context has ended, or nil.
func interrupted(ctx context.Context) *failure {
	if ctx.Err() == nil {
		return nil
	}
	cause := context.Cause(ctx)
	var silent *Silent
	if errors.As(cause, &silent) {
		return silentFailure(cause)
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

// silent marks the failure of an upstream that sent nothing until the
// deadline: unlike other ends from outside, it speaks against the upstream.
func (f *failure) silent() {
	if f.code == refuser.CodeDeadline {
		f.neutral = false
	}
}
