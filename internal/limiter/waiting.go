package limiter

import (
	"slices"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// longestRetry is the longest time that a refusal asks a caller to wait.
const longestRetry = time.Minute

// enqueue lets a reservation wait for a loan. It returns the refusal instead
// if the tokens cannot be there by the deadline.
func (b *bucket) enqueue(now time.Time, w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	place := b.behind(w.rank)
	if place == 0 && b.spend(w.into, w.tokens) {
		w.answer <- nil
		return nil
	}
	at := b.available(now, w.tokens, place)
	if at.IsZero() || at.After(w.deadline) {
		return refuseRate(now, at)
	}
	b.waiters = slices.Insert(b.waiters, place, w)
	return nil
}

// available estimates when tokens can be there, after the first so many of
// those that wait already; zero means never.
func (b *bucket) available(now time.Time, tokens int64, place int) time.Time {
	need := float64(tokens) - b.loan
	for _, w := range b.waiters[:place] {
		need += float64(w.tokens)
	}
	rate := 0.0
	if b.standing {
		need -= b.reserve.level
		rate = b.reserve.rate
	}
	if !b.source.known || now.Sub(b.source.at) > b.rule.fresh {
		return b.alone(now, tokens, need, rate)
	}
	if float64(tokens) > b.source.limit+b.reserve.bound {
		return time.Time{}
	}
	rate += b.source.rate
	need -= b.source.left + b.source.rate*now.Sub(b.source.at).Seconds()
	return after(now, need, rate)
}

// alone estimates while the holder has not answered yet: a loan may come at once.
func (b *bucket) alone(now time.Time, tokens int64, need, rate float64) time.Time {
	if b.rule.lends() {
		return now
	}
	if float64(tokens) > b.reserve.bound {
		return time.Time{}
	}
	return after(now, need, rate)
}

// after is when need tokens have come in at a rate; zero means never.
func after(now time.Time, need, rate float64) time.Time {
	switch {
	case need <= 0:
		return now
	case rate <= 0:
		return time.Time{}
	}
	return now.Add(min(time.Duration(need/rate*float64(time.Second)), longestRetry))
}

// expire refuses the reservations whose time to wait is over.
func (b *bucket) expire(now time.Time) {
	b.sift(now, func(w *waiter, place int) (time.Time, bool) {
		if now.Before(w.deadline) {
			return time.Time{}, false
		}
		return b.available(now, w.tokens, place), true
	})
}

// giveUp refuses the reservations that the holder cannot serve in time.
func (b *bucket) giveUp(now time.Time) {
	b.sift(now, func(w *waiter, place int) (time.Time, bool) {
		at := b.available(now, w.tokens, place)
		return at, at.IsZero() || at.After(w.deadline)
	})
}

// sift refuses the waiting reservations whose wait ends, and tells them when
// their tokens can be there. Place is the number of those before one that stay.
func (b *bucket) sift(now time.Time, ends func(w *waiter, place int) (at time.Time, ended bool)) {
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

// leave removes a reservation that no longer waits. It reports false if the
// reservation was answered already.
func (b *bucket) leave(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiters {
		if other == w {
			b.waiters = append(b.waiters[:i], b.waiters[i+1:]...)
			b.serve()
			return true
		}
	}
	return false
}

// refuseRate refuses a request whose tokens are there at a time; zero means never.
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
