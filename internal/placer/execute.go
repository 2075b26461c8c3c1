package placer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/orderer"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// execute writes all intents of a plan to the store in one write, and then sends the
// orders.
func (g *group) execute(ctx context.Context, term Term, state State, plan Plan) {
	expiry := state.Now.Add(g.config.Settings.Expiry.Duration)
	next := g.ledger.clone()
	next.Intents = slices.DeleteFunc(next.Intents, func(intent Intent) bool {
		return slices.Contains(plan.Finished, intent.Order)
	})
	next.Allowances = g.refreshAllowances(state, plan)
	orders := g.addIntents(next, plan, expiry)
	changed := len(orders) > 0 || !slices.Equal(next.Allowances, g.ledger.Allowances)
	if changed || g.unsaved && !g.ledgerStore.backingOff() {
		var ok bool
		if next, orders, ok = g.record(ctx, next, orders); !ok {
			return
		}
	}
	g.mutex.Lock()
	g.unsaved = g.unsaved || len(plan.Finished) > 0 && !changed
	g.ledger = next
	g.slotShortage = plan.SlotShortage
	g.mutex.Unlock()
	g.deliver(ctx, term, orders)
	g.sendAdapterOrders(ctx, term, plan.Adapters, expiry)
}

// addIntents adds an intent for each load and unload of a plan, and returns those intents.
func (g *group) addIntents(next *Ledger, plan Plan, expiry time.Time) []Intent {
	first := len(next.Intents)
	free := g.slots.free(next)
	for _, load := range plan.Loads {
		intent := Intent{
			Kind:       orderer.Load,
			Engine:     load.Engine,
			Model:      load.Version.Model,
			Version:    load.Version.Name,
			Checkpoint: load.Version.Checkpoint,
			Bytes:      load.Bytes,
			Extra:      load.Extra,
			Since:      load.Since,
		}
		if load.Remote {
			if len(free) > 0 {
				intent.Slot = free[0]
				free = free[1:]
			}
			g.teamCosts.add(load.Team, loadTime(load.Version.Bytes, reporter.PlaceRemote), g.config.Now())
		}
		next.Intents = append(next.Intents, intent)
	}
	for _, unload := range plan.Unloads {
		next.Intents = append(next.Intents, Intent{
			Kind:       orderer.Unload,
			Engine:     unload.Engine,
			Model:      unload.Model,
			Version:    unload.Version,
			Checkpoint: unload.Checkpoint,
			Bytes:      unload.Bytes,
		})
	}
	for i := first; i < len(next.Intents); i++ {
		next.Intents[i].Order = g.nextOrderID()
		next.Intents[i].Epoch = g.epoch
		next.Intents[i].Expiry = expiry
	}
	return slices.Clone(next.Intents[first:])
}

// record writes the ledger to the store. If the store is unreachable it keeps only the
// unloads and the loads that the stored allowances cover. It reports false if the duty is
// lost.
func (g *group) record(ctx context.Context, next *Ledger, orders []Intent) (*Ledger, []Intent, bool) {
	if g.disabled.records {
		return next, orders, true
	}
	if !g.ledgerStore.backingOff() {
		err := g.ledgerStore.save(ctx, next, storeTimeout)
		if err == nil {
			ledgerWrites.Inc()
			g.setSaved(next)
			return next, orders, true
		}
		ledgerFailures.Inc()
		g.config.Log.WithFields(logrus.Fields{
			"duty":  g.duty,
			"error": err,
		}).Warn("placer.unrecorded")
		if superseded := (*Superseded)(nil); errors.As(err, &superseded) {
			g.clearTerm()
			return nil, nil, false
		}
	}
	g.setSaved(nil)
	uncovered := func(intent Intent) bool { return !g.covered(intent) }
	refused := slices.DeleteFunc(slices.Clone(orders), g.covered)
	orders = slices.DeleteFunc(orders, uncovered)
	next.Allowances = g.ledger.Allowances
	next.Intents = slices.DeleteFunc(next.Intents, func(intent Intent) bool {
		return slices.ContainsFunc(refused, func(other Intent) bool { return other.Order == intent.Order })
	})
	return next, orders, true
}

// setSaved keeps the ledger that was written to the store; nil marks the ledger in memory
// as newer than the stored one.
func (g *group) setSaved(saved *Ledger) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.unsaved = saved == nil
	if saved != nil {
		g.savedLedger = saved
	}
}

// covered reports whether an order may be sent without being recorded. Unloads take no
// memory and need no allowance; a load needs one of this epoch.
func (g *group) covered(intent Intent) bool {
	if intent.Kind == orderer.Unload {
		return true
	}
	if g.savedLedger == nil || intent.Extra {
		return false
	}
	return slices.ContainsFunc(g.savedLedger.Allowances, func(a Allowance) bool {
		return a.Epoch == g.epoch && a.Engine == intent.Engine && a.Model == intent.Model && intent.Bytes <= a.Bytes
	})
}

// deliver sends recorded orders to their engines.
func (g *group) deliver(ctx context.Context, term Term, intents []Intent) {
	for _, intent := range intents {
		d := g.newDelivery(term, intent.Engine, orderer.Order{
			ID:         intent.Order,
			Kind:       intent.Kind,
			Epoch:      intent.Epoch,
			Expiry:     intent.Expiry,
			Checkpoint: intent.Checkpoint,
			Bytes:      intent.Bytes,
		})
		if d == nil {
			continue
		}
		if intent.Slot != "" {
			d.paced = true
			g.mutex.Lock()
			g.pacer.begin()
			g.mutex.Unlock()
		}
		g.deliveries.Add(1)
		go d.run(ctx)
	}
}

// sendAdapterOrders sends adapter orders. They need no intent, because the memory of a copy
// always includes its complete adapter pool.
func (g *group) sendAdapterOrders(ctx context.Context, term Term, orders []AdapterOrder, expiry time.Time) {
	for _, planned := range orders {
		d := g.newDelivery(term, planned.Engine, g.newOrder(planned.Kind, planned.Checkpoint, planned.Adapter, planned.Bytes, expiry))
		if d == nil {
			continue
		}
		d.adapterOrder = &pendingAdapterOrder{
			AdapterOrder: planned,
			expiry:       expiry,
		}
		g.mutex.Lock()
		g.adapterOrders = append(g.adapterOrders, d.adapterOrder)
		g.mutex.Unlock()
		g.deliveries.Add(1)
		go d.run(ctx)
	}
}
