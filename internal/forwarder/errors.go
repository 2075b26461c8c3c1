package forwarder

import (
	"errors"
	"strconv"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// AnswerTooLarge reports an answer that exceeds the size limit.
type AnswerTooLarge struct {
	// Bytes is the limit.
	Bytes int64
}

// Error implements error.
func (e *AnswerTooLarge) Error() string {
	return "answer is larger than " + strconv.FormatInt(e.Bytes, 10) + " bytes"
}

// AnswersTooLarge reports that the answers that are read whole take all the memory for them.
type AnswersTooLarge struct {
	// Bytes is the memory limit.
	Bytes int64
}

// Error implements error.
func (e *AnswersTooLarge) Error() string {
	return "answers that are read whole take more than " + strconv.FormatInt(e.Bytes, 10) + " bytes"
}

// TokenGap reports a stream that skipped tokens.
type TokenGap struct {
	// Expected is the number of the next token in order.
	Expected int64
	// Got is the number of the token that arrived.
	Got int64
}

// Error implements error.
func (e *TokenGap) Error() string {
	return "received token " + strconv.FormatInt(e.Got, 10) + ", expected token " + strconv.FormatInt(e.Expected, 10)
}

// MisroutedEvent reports an event that belongs to the answer to another request.
type MisroutedEvent struct{}

// Error implements error.
func (e *MisroutedEvent) Error() string { return "event belongs to another request" }

// CallerGone reports that the caller disconnected before the answer was delivered.
type CallerGone struct {
	// Cause is the error of the write.
	Cause error
}

// Error implements error.
func (e *CallerGone) Error() string { return "caller disconnected: " + e.Cause.Error() }

// Unwrap returns the error of the write.
func (e *CallerGone) Unwrap() error { return e.Cause }

// UnsupportedTarget reports a target that cannot be sent unchanged.
type UnsupportedTarget struct {
	// Target is the path and query.
	Target string
}

// Error implements error.
func (e *UnsupportedTarget) Error() string {
	return "target " + strconv.Quote(e.Target) + " cannot be sent unchanged"
}

// callerGone returns the failure of an answer that could not be written to the caller.
func callerGone(err error) *failure {
	return &failure{
		code:    refuser.CodeStopping,
		detail:  "the caller has gone",
		final:   true,
		neutral: true,
		cause: &CallerGone{
			Cause: err,
		},
	}
}

// refusalCode returns the code of a refusal. Any other error of a check means that
// the caller's key was withdrawn.
func refusalCode(err error) refuser.Code {
	var refused *refuser.Refusal
	if errors.As(err, &refused) {
		return refused.Code
	}
	return refuser.CodeWithdrawn
}

// Sealed reports a write to a connection after its request was declared not run.
type Sealed struct{}

// Error implements error.
func (e *Sealed) Error() string { return "connection is sealed: request was declared not run" }

// EventTooLarge reports a server-sent event or line that exceeds the size limit.
type EventTooLarge struct {
	// Bytes is the limit.
	Bytes int
}

// Error implements error.
func (e *EventTooLarge) Error() string {
	return "event is larger than " + strconv.Itoa(e.Bytes) + " bytes"
}

// LimitReached reports that the limit which an upstream states leaves no room for a request.
type LimitReached struct {
	// Upstream is the upstream's name.
	Upstream string
}

// Error implements error.
func (e *LimitReached) Error() string { return "limit of upstream " + e.Upstream + " is reached" }

// unwantedFailure returns the failure of an attempt that was not made because its upstream has come to want no requests.
func unwantedFailure() *failure {
	return &failure{
		code:      refuser.CodeNoUpstream,
		detail:    "the upstream wants no requests",
		unsent:    true,
		unreached: true,
		neutral:   true,
	}
}
