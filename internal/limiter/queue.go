package limiter

import (
	"slices"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// maxRetryAfter is the longest retry time that a refusal states.
const maxRetryAfter = time.Minute

// enqueue queues a reservation for a loan. It returns a refusal instead if the tokens cannot be available by
// the deadline.
func (b *bucket) enqueue(now time.Time, w *queuedReservation) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	position := b.queuePosition(w.rank)
	if position == 0 && b.spend(w.reservation, w.tokens) {
		w.answer <- nil
		return nil
	}
	availableAt := b.estimateAvailable(now, w.tokens, position)
	if availableAt.IsZero() || availableAt.After(w.deadline) {
		return refuseRate(now, availableAt)
	}
	b.queue = slices.Insert(b.queue, position, w)
	return nil
}

// estimateAvailable estimates when tokens will be available to a reservation at the given queue position, after
// all reservations before it; zero means never.
func (b *bucket) estimateAvailable(now time.Time, tokens int64, position int) time.Time {
	need := float64(tokens) - b.loan
	for _, w := range b.queue[:position] {
		need += float64(w.tokens)
	}
	rate := 0.0
	if b.reserveActive {
		need -= b.reserve.level
		rate = b.reserve.rate
	}
	if !b.holderBalance.valid || now.Sub(b.holderBalance.updated) > b.rule.maxBalanceAge {
		return b.estimateWithoutHolder(now, tokens, need, rate)
	}
	if float64(tokens) > b.holderBalance.maxLoan+b.reserve.bound {
		return time.Time{}
	}
	rate += b.holderBalance.rate
	need -= b.holderBalance.available + b.holderBalance.rate*now.Sub(b.holderBalance.updated).Seconds()
	return accrualTime(now, need, rate)
}

// estimateWithoutHolder estimates without a recent balance of the holder. If a holder lends, a loan may arrive at
// any moment; otherwise only the reserve counts.
func (b *bucket) estimateWithoutHolder(now time.Time, tokens int64, need, rate float64) time.Time {
	if b.rule.lends() {
		return now
	}
	if float64(tokens) > b.reserve.bound {
		return time.Time{}
	}
	return accrualTime(now, need, rate)
}

// accrualTime returns when the needed tokens will have accrued at a rate, limited to maxRetryAfter; zero
// means never.
func accrualTime(now time.Time, need, rate float64) time.Time {
	switch {
	case need <= 0:
		return now
	case rate <= 0:
		return time.Time{}
	}
	return now.Add(min(time.Duration(need/rate*float64(time.Second)), maxRetryAfter))
}

// refuseExpired refuses the reservations that are past their deadline.
func (b *bucket) refuseExpired(now time.Time) {
	b.refuseQueued(now, func(w *queuedReservation, position int) (time.Time, bool) {
		if now.Before(w.deadline) {
			return time.Time{}, false
		}
		return b.estimateAvailable(now, w.tokens, position), true
	})
}

// refuseUnservable refuses the reservations that the holder cannot serve in time.
func (b *bucket) refuseUnservable(now time.Time) {
	b.refuseQueued(now, func(w *queuedReservation, position int) (time.Time, bool) {
		availableAt := b.estimateAvailable(now, w.tokens, position)
		return availableAt, availableAt.IsZero() || availableAt.After(w.deadline)
	})
}

// refuseQueued refuses the waiting reservations for which check returns true, with the time at which their tokens
// may be available. position is the number of reservations that remain in the queue before the checked one.
func (b *bucket) refuseQueued(now time.Time, check func(w *queuedReservation, position int) (at time.Time, refuse bool)) {
	queue := b.queue
	b.queue = nil
	for _, w := range queue {
		if availableAt, refuse := check(w, len(b.queue)); refuse {
			w.answer <- refuseRate(now, availableAt)
			continue
		}
		b.queue = append(b.queue, w)
	}
}

// removeQueued removes a reservation whose caller no longer waits. It returns false if the reservation was already
// granted or refused.
func (b *bucket) removeQueued(w *queuedReservation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.queue {
		if other == w {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			b.serveQueue()
			return true
		}
	}
	return false
}

// refuseRate refuses a request whose tokens may be available at the given time; zero means never.
func refuseRate(now, availableAt time.Time) *refuser.Refusal {
	refusal := &refuser.Refusal{
		Code:    refuser.CodeRate,
		Outcome: refuser.NotRun,
		Detail:  "the team has spent its budget",
		RetryAt: availableAt,
	}
	switch {
	case availableAt.IsZero():
		refusal.Detail = "the request is larger than the team's budget can cover"
	case !availableAt.After(now):
		refusal.RetryAt = now.Add(time.Second)
	}
	return refusal
}
