package stager

import (
	"slices"
	"time"
)

// lateOrderLimit is how long after it was sent an order may still be carried out. The users' pages speak of seconds.
const lateOrderLimit = 30 * time.Second

// openOrder is an order whose outcome is not known. The engine carries it out when it arrives while the engine's sequence is
// that of the order, so that it excludes any other order with the same sequence.
type openOrder struct {
	order Order
	// until is when the order can no longer arrive.
	until time.Time
}

// record updates the view with the outcome of an order. The sequence must never be above the engine's: an order that names a
// higher one and is carried out late would hold by chance later, with other contents than it was sent for. So only an accepted
// load counts by itself.
func (v *view) record(now time.Time, order Order, known outcome) {
	if known == outcomeUnsent {
		return
	}
	v.ordered = order.Sequence
	brought := v.brought[order.Adapter]
	if order.Unload {
		v.forget(order)
	}
	switch known {
	case outcomeAccepted:
		v.settled = !order.Unload
		if order.Unload {
			// A repeated unload that still waits is accepted too, but not counted.
			v.mayBeNext, v.sequenceUnknown = false, true
			return
		}
		v.advance(now)
		if order.Adapter != "" {
			v.brought[order.Adapter] = true
		}
	case outcomeHeld:
		v.recordHeld(now, order, brought)
	case outcomeConflict:
		v.recordConflict(now)
	case outcomeUnknown:
		v.mayBeNext = false
		v.sequenceUnknown = true
		v.expire(now)
		v.open = append(v.open, openOrder{
			order: order,
			until: now.Add(lateOrderLimit),
		})
	}
}

// forget drops what an unload may remove from what is surely loaded.
func (v *view) forget(order Order) {
	if order.Adapter == "" {
		clear(v.brought)
		return
	}
	delete(v.brought, order.Adapter)
}

// advance raises the sequence by one order that the engine has counted.
func (v *view) advance(now time.Time) {
	v.sequence++
	v.mayBeNext = false
	v.provenUntil = now.Add(maxReportAge)
}

// recordHeld records an order that is answered as done. An unload that already held is not counted by the engine; one that was
// done at once is, and it can be told from the other only if the adapter was surely loaded. A conflict of the next order does not tell
// them apart, since it may be due to something that the view does not know of.
func (v *view) recordHeld(now time.Time, order Order, brought bool) {
	switch {
	case !order.Unload:
	case brought && v.countsUnloads:
		v.advance(now)
	default:
		v.mayBeNext = brought && v.settled
	}
}

// recordConflict records that the engine's sequence is not that of the view. If only the unload before can have advanced it, the
// next sequence is known; else the engine's report has to be read.
func (v *view) recordConflict(now time.Time) {
	ahead := func(o openOrder) bool { return o.order.Sequence >= v.sequence }
	if v.mayBeNext && !slices.ContainsFunc(v.open, ahead) {
		v.advance(now)
		return
	}
	v.mayBeNext, v.sequenceUnknown = false, true
	v.conflictSequence, v.conflictUntil = v.sequence, now.Add(busyRetryDelay)
	clear(v.brought)
}

// expire drops the open orders that can no longer arrive, and returns the number of the others.
func (v *view) expire(now time.Time) int {
	v.open = slices.DeleteFunc(v.open, func(o openOrder) bool { return !now.Before(o.until) })
	return len(v.open)
}

// charged returns the contents with the loads that the engine may still carry out after the next order. Those are the open ones
// that name the sequence after it: one that names the same sequence as the next order excludes it, and a lower one has failed.
func (v *view) charged(now time.Time) contents {
	v.expire(now)
	all := v.contents()
	for _, o := range v.open {
		if !o.order.Unload && o.order.Sequence == v.sequence+1 {
			pendingChange{
				checkpoint: o.order.Checkpoint,
				adapter:    o.order.Adapter,
				held:       true,
			}.apply(all)
		}
	}
	return all
}

// mayGetLateOrder reports whether an open order can still arrive at the engine.
func (v *view) mayGetLateOrder(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.expire(now) > 0
}
