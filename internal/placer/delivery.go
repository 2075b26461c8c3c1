package placer

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/orderer"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// delivery is one order that is being sent to an engine.
type delivery struct {
	group  *group
	term   Term
	engine storer.Instance
	order  orderer.Order
	// paced is set if the order loads from the weight store and so is subject to the pacer.
	paced bool
	// adapterOrder is the entry to update for an adapter order; nil for others.
	adapterOrder *pendingAdapterOrder
}

// newDelivery returns a delivery to an engine, or nil if the engine is no longer listed.
func (g *group) newDelivery(term Term, engine string, order orderer.Order) *delivery {
	for _, instance := range g.engines() {
		if instance.Name == engine {
			return &delivery{
				group:  g,
				term:   term,
				engine: instance,
				order:  order,
			}
		}
	}
	return nil
}

// run sends the order and logs the outcome.
func (d *delivery) run(ctx context.Context) {
	defer d.group.deliveries.Done()
	err := d.send(ctx)
	d.recordOutcome(err)
	log := d.group.config.Log.WithFields(logrus.Fields{
		"order":      d.order.ID,
		"kind":       d.order.Kind,
		"engine":     d.engine.Name,
		"checkpoint": d.order.Checkpoint,
	})
	if err != nil {
		ordersFailed.Inc()
		log.WithField("error", err).Warn("placer.order")
		return
	}
	log.Info("placer.order")
}

// send sends the order, unless the duty may have been lost.
func (d *delivery) send(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, d.order.Expiry)
	defer cancel()
	if !d.group.disabled.termChecks {
		if err := d.term.Check(); err != nil {
			ordersWithheld.Inc()
			return err
		}
	}
	ordersSent.Inc()
	return d.group.config.Order(ctx, d.engine, d.order)
}

// recordOutcome records when the order can have begun at the latest: now, unless the engine
// could not be reached and may execute it until it expires.
func (d *delivery) recordOutcome(err error) {
	d.group.mutex.Lock()
	defer d.group.mutex.Unlock()
	now := d.group.config.Now()
	latest := now
	if unanswered := (*orderer.Unanswered)(nil); errors.As(err, &unanswered) {
		latest = d.order.Expiry.Add(connectionGrace)
	}
	if d.adapterOrder != nil {
		d.adapterOrder.answered = !latest.After(now)
	}
	if d.paced {
		d.group.pacer.end(latest, d.group.loadInterval())
	}
}
