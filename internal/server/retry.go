package server

import (
	"context"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

const (
	// maxUnknownRetries limits how many times a completion request is queued again after an attempt that may or may not
	// have run.
	maxUnknownRetries = 3
	// minRetryPause and maxRetryPause bound the exponential backoff before a request is queued again.
	minRetryPause = 25 * time.Millisecond
	maxRetryPause = time.Second
)

// forwardWithRetries forwards a completion request. While nothing was written to the caller, a request that its engine
// refused or failed is queued again, because load reports lag and the engine may have lost its copy of the model.
func (e *exchange) forwardWithRetries(ctx context.Context) error {
	pause := minRetryPause
	for {
		err := e.forwardCompletion(ctx)
		if err == nil {
			return nil
		}
		refusal := e.asRefusal(err)
		if refusal.Outcome == refuser.Unknown {
			e.unknownAttempts++
		}
		if !e.retryable(refusal) {
			return e.overallRefusal(refusal)
		}
		e.dispatch.requeue()
		if !waiter.Pause(ctx, pause) {
			return e.overallRefusal(refusal)
		}
		pause = min(2*pause, maxRetryPause)
		if _, err := e.server.enqueue(ctx, e); err != nil {
			return e.overallRefusal(e.asRefusal(err))
		}
	}
}

// retryable reports whether a failed request may be queued again.
func (e *exchange) retryable(refusal *refuser.Refusal) bool {
	if e.responseStarted || e.unknownAttempts > maxUnknownRetries || e.request.Context().Err() != nil {
		return false
	}
	return refusal.Code == refuser.CodeNoUpstream || refusal.Code == refuser.CodeUpstreamFailed
}

// overallRefusal returns the refusal of the last attempt with the outcome of all attempts: unknown if any of them may
// have run.
func (e *exchange) overallRefusal(refusal *refuser.Refusal) *refuser.Refusal {
	if e.unknownAttempts == 0 {
		return refusal
	}
	overall := *refusal
	overall.Outcome = refuser.Unknown
	return &overall
}
