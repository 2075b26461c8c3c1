package stager

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// order sends an order. If it conflicts only because the engine counted the unload before, it is sent again with the next
// sequence. After an order that conflicts or whose outcome is unknown, the next refresh reads the engine's own report. The
// caller holds the lock of the view.
func (s *Stager) order(ctx context.Context, term Term, v *view, instance storer.Instance, order Order) (OrderResult, error) {
	if v.epoch != term.Epoch {
		// Another holder may have ordered in between.
		v.epoch, v.mayBeNext, v.settled = term.Epoch, false, false
		clear(v.brought)
	}
	answer, err := s.send(ctx, term, v, instance, order)
	var conflict *Conflict
	if errors.As(err, &conflict) && !v.sequenceUnknown {
		answer, err = s.send(ctx, term, v, instance, order)
		v.countsUnloads = v.countsUnloads || err == nil
	}
	return answer, err
}

// send sends an order once, after checking that the term has not ended, and records its outcome.
func (s *Stager) send(ctx context.Context, term Term, v *view, instance storer.Instance, order Order) (OrderResult, error) {
	order.Sequence = v.sequence
	order.Epoch = term.Epoch
	order.Holder = s.config.Self.Name
	if err := term.Check(); err != nil {
		return InProgress, err
	}
	answer, err := s.config.Order(ctx, instance, order)
	known := outcomeOf(answer, err)
	known.count()
	v.record(s.config.Now(), order, known)
	s.logOrder(instance, order, known, err)
	return answer, err
}

// logOrder logs an order with its outcome.
func (s *Stager) logOrder(instance storer.Instance, order Order, known outcome, err error) {
	fields := logrus.Fields{
		"engine":     instance.Name,
		"order":      order.kind(),
		"checkpoint": order.Checkpoint,
		"adapter":    order.Adapter,
		"sequence":   order.Sequence,
		"epoch":      order.Epoch,
		"outcome":    known,
		"done":       known == outcomeHeld,
	}
	if err != nil {
		fields["error"] = err
	}
	s.config.Log.WithFields(fields).Info("stage.order")
}
