package app

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/certifier"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

const (
	// rewriteTimeout limits an attempt to write what a restored store lacks.
	rewriteTimeout = 2 * time.Second
	// rewritePause is the pause after a failure.
	rewritePause = 500 * time.Millisecond
)

// rewriter writes the authority again when the store was restored from a copy that lacks it.
type rewriter struct {
	// keep writes the authority if the store has none.
	keep func(ctx context.Context) error
	wake chan struct{}
	log  logrus.FieldLogger
}

// request makes the rewriter check the store soon. It does not block.
func (r *rewriter) request() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run checks the store whenever that is requested, until the context ends.
func (r *rewriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for !r.rewrite(ctx) && waiter.Pause(ctx, rewritePause) {
		}
	}
}

// rewrite makes one attempt, and reports whether no other one is needed.
func (r *rewriter) rewrite(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, rewriteTimeout)
	defer cancel()
	err := r.keep(ctx)
	var replaced *certifier.Replaced
	switch {
	case err == nil:
		return true
	case errors.As(err, &replaced):
		r.log.WithError(err).Error("authority.replaced")
		return true
	default:
		r.log.WithError(err).Warn("authority.unwritten")
		return false
	}
}
