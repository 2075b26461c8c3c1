package stager

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	// swapTimeout ends a swap whose unloads do not finish. It is longer than most requests
	// take.
	swapTimeout = 30 * time.Second
	// swapRetryInterval is the time between attempts while the engine carries out an order.
	swapRetryInterval = 100 * time.Millisecond
)

// swap evicts models from an engine and loads another one in their place.
type swap struct {
	stager     *Stager
	term       Term
	view       *view
	instance   storer.Instance
	checkpoint string
	placement  placement
	// limiter counts the load until it ends; nil if the load is not from the weight store or
	// not limited.
	limiter *loadLimiter
}

// run carries out the swap, and then ends the reservation of the engine and of the weight
// store.
func (w *swap) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	err := w.unload(ctx)
	if err == nil {
		err = w.orderWithRetry(ctx, Order{
			Checkpoint: w.checkpoint,
		})
	}
	s := w.stager
	if err == nil {
		w.view.mu.Lock()
		w.view.busyUntil = s.config.Now().Add(w.placement.candidate.load)
		w.view.mu.Unlock()
		err = w.confirm(ctx)
	}
	now := s.config.Now()
	if w.limiter != nil {
		w.limiter.finish()
	}
	w.view.mu.Lock()
	w.view.busyUntil, w.view.loadingModel = now, ""
	if err == nil {
		w.view.loadedAt[w.checkpoint] = now
	}
	w.view.mu.Unlock()
	log := s.config.Log.WithFields(logrus.Fields{
		"engine":     w.instance.Name,
		"checkpoint": w.checkpoint,
		"victims":    len(w.placement.victims),
		"remote":     w.placement.candidate.remote,
		"loss":       w.placement.cost,
	})
	if err != nil {
		log.WithError(err).Warn("stage.failed")
		return
	}
	log.Info("stage.loaded")
	s.recordChange(w.instance.Name, w.checkpoint, true)
}

// confirm waits until the engine's own report shows the model. A load takes longer than expected
// while others run, and the engine refuses requests for the model until the load is done.
func (w *swap) confirm(ctx context.Context) error {
	s := w.stager
	wait := w.placement.candidate.load
	for waiter.Pause(ctx, wait) {
		report, err := s.config.Read(ctx, w.instance)
		if err == nil && contentsOf(report)[w.checkpoint] != nil {
			return nil
		}
		wait = swapRetryInterval
	}
	return ctx.Err()
}

// unload evicts the models that make room for the new one.
func (w *swap) unload(ctx context.Context) error {
	for _, victim := range w.placement.victims {
		err := w.orderWithRetry(ctx, Order{
			Unload:     true,
			Checkpoint: victim.checkpoint,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// orderWithRetry sends an order, and repeats it while the engine still carries out the
// previous one.
func (w *swap) orderWithRetry(ctx context.Context, order Order) error {
	for {
		err := w.sendOrder(ctx, order)
		var conflict *Conflict
		var outdated *Outdated
		if retry := errors.As(err, &conflict) || errors.As(err, &outdated); !retry || !waiter.Pause(ctx, swapRetryInterval) {
			return err
		}
	}
}

// sendOrder sends one order for a model. It reads the engine's own report first, so that a
// load is never ordered without room for it.
func (w *swap) sendOrder(ctx context.Context, order Order) error {
	s := w.stager
	w.view.mu.Lock()
	defer w.view.mu.Unlock()
	w.view.sequenceUnknown = true
	if err := s.refresh(ctx, w.view, w.instance); err != nil {
		return err
	}
	if w.view.busy {
		return &Conflict{}
	}
	done := s.config.Now()
	if !order.Unload {
		if free := s.free(w.view.charged(done), w.instance.Service); free < w.placement.bytes {
			return unavailable("the engine has no room for the model")
		}
		done = done.Add(w.placement.candidate.load)
	}
	_, err := s.order(ctx, w.term, w.view, w.instance, order)
	if err == nil {
		w.view.addPending(done, order.Checkpoint, "", !order.Unload)
	}
	return err
}
