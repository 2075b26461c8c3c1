package limiter

import (
	"slices"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// maxRetryAfter is the longest time after which a refusal tells the caller to retry.
const maxRetryAfter = time.Minute

// enqueue queues a reservation for a loan. It returns a refusal instead if the tokens cannot be available by
// the deadline.
func (b *bucket) enqueue(now time.Time, w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	position := b.queuePosition(w.rank)
	if position == 0 && b.spend(w.into, w.tokens) {
		w.answer <- nil
		return nil
	}
	at := b.available(now, w.tokens, position)
	if at.IsZero() || at.After(w.deadline) {
		return refuseRate(now, at)
	}
	b.waiters = slices.Insert(b.waiters, position, w)
	return nil
}

// available estimates when tokens will be available behind the waiters that precede the given position; zero
// means never.
func (b *bucket) available(now time.Time, tokens int64, position int) time.Time {
	need := float64(tokens) - b.loan
	for _, w := range b.waiters[:position] {
		need += float64(w.tokens)
	}
	rate := 0.0
	if b.standing {
		need -= b.reserve.level
		rate = b.reserve.rate
	}
	if !b.holder.known || now.Sub(b.holder.at) > b.rule.maxAge {
		return b.availableLocally(now, tokens, need, rate)
	}
	if float64(tokens) > b.holder.limit+b.reserve.bound {
		return time.Time{}
	}
	rate += b.holder.rate
	need -= b.holder.left + b.holder.rate*now.Sub(b.holder.at).Seconds()
	return accrualTime(now, need, rate)
}

// availableLocally estimates without a recent report of the holder. With lending, a loan may arrive at any
// moment; otherwise only the reserve counts.
func (b *bucket) availableLocally(now time.Time, tokens int64, need, rate float64) time.Time {
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

// expire refuses the reservations that are past their deadline.
func (b *bucket) expire(now time.Time) {
	b.refuseWaiters(now, func(w *waiter, position int) (time.Time, bool) {
		if now.Before(w.deadline) {
			return time.Time{}, false
		}
		return b.available(now, w.tokens, position), true
	})
}

// refuseHopeless refuses the reservations that the holder cannot serve in time.
func (b *bucket) refuseHopeless(now time.Time) {
	b.refuseWaiters(now, func(w *waiter, position int) (time.Time, bool) {
		at := b.available(now, w.tokens, position)
		return at, at.IsZero() || at.After(w.deadline)
	})
}

// refuseWaiters refuses the waiting reservations for which ends returns true, with the time at which their
// tokens can be available. Position is the number of remaining waiters before the reservation.
func (b *bucket) refuseWaiters(now time.Time, ends func(w *waiter, position int) (at time.Time, ended bool)) {
	waiters := b.waiters
	b.waiters = nil
	for _, w := range waiters {
		if at, ended := ends(w, len(b.waiters)); ended {
			w.answer <- refuseRate(now, at)
			continue
		}
		b.waiters = append(b.waiters, w)
	}
}

// removeWaiter removes a reservation that no longer waits. It reports false if the reservation was already
// answered.
func (b *bucket) removeWaiter(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiters {
		if other == w {
			b.waiters = append(b.waiters[:i], b.waiters[i+1:]...)
			b.serveWaiters()
			return true
		}
	}
	return false
}

// refuseRate refuses a request whose tokens are available at the given time; zero means never.
func refuseRate(now, at time.Time) *refuser.Refusal {
	refusal := &refuser.Refusal{
		Code:    refuser.CodeRate,
		Outcome: refuser.NotRun,
		Detail:  "the team has spent its budget",
		RetryAt: at,
	}
	switch {
	case at.IsZero():
		refusal.Detail = "the request is larger than the team's budget can cover"
	case !at.After(now):
		refusal.RetryAt = now.Add(time.Second)
	}
	return refusal
}
