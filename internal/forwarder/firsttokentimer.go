package forwarder

import (
	"context"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// FirstTokenTimeout reports an engine that sent no token early enough for the request to be
// retried on another engine.
type FirstTokenTimeout struct{}

// Error implements error.
func (e *FirstTokenTimeout) Error() string { return "no token within half of the remaining time" }

// firstTokenTimer cancels an attempt that has produced no token by the time that half of
// the time until the deadline has passed.
type firstTokenTimer struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// newFirstTokenTimer returns the context of an attempt and the timer that cancels it. Only
// the first attempt of a stream is bounded: later ones have all the remaining time.
func (f *Forwarder) newFirstTokenTimer(ctx context.Context, c *Completion, result *Result) (context.Context, *firstTokenTimer) {
	deadline, ok := ctx.Deadline()
	if !ok || !c.Stream || result.Attempts > 1 {
		return ctx, &firstTokenTimer{}
	}
	bounded, cancel := context.WithCancelCause(ctx)
	t := &firstTokenTimer{
		cancel: cancel,
	}
	t.timer = time.AfterFunc(deadline.Sub(f.config.Now())/2, t.expire)
	return bounded, t
}

// expire cancels the attempt with *FirstTokenTimeout as the cause.
func (t *firstTokenTimer) expire() { t.cancel(&FirstTokenTimeout{}) }

// stop stops the timer after a token arrived, and reports whether that was in time.
func (t *firstTokenTimer) stop() bool { return t.timer == nil || t.timer.Stop() }

// release stops the timer and releases the context of the attempt.
func (t *firstTokenTimer) release() {
	_ = t.stop()
	if t.cancel != nil {
		t.cancel(nil)
	}
}

// noTokenFailure returns the failure of an engine that sent no token in time.
func noTokenFailure(cause error) *failure {
	return &failure{
		code:   refuser.CodeUpstreamFailed,
		detail: "the engine sent nothing in time",
		cause:  cause,
	}
}
