package limiter

import (
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// bucket is the budget of one team that the instance may spend.
type bucket struct {
	team string
	rule rule

	mu sync.Mutex
	// limits are the limits that the balances below were computed with.
	limits configurator.Team
	// reserve accrues locally, without contact to the holder, while reserveActive is set.
	reserve       account
	reserveActive bool
	// loan is the number of tokens lent and not yet spent; negative for a debt.
	loan float64
	// suspended blocks the loan until the holder has confirmed it.
	suspended bool
	counters  counters
	// era and factor are those of the holder's account, as of the last grant.
	era      uint64
	factor   float64
	forecast usageForecast
	// holderBalance is the last reported balance of the holder.
	holderBalance holderBalance
	// queue holds the waiting reservations, ordered by rank, then by arrival.
	queue []*queuedReservation
}

// counters are the totals that the instance reports to the holder, in tokens.
type counters struct {
	// credited is the total of the loans received in the session, returned the total returned in it.
	credited float64
	returned float64
	// opened are the tokens reserved from loans in the era, closed those of them in settled reservations, and
	// refunded those that were not used. Each is divided by the factor in force when it was counted.
	opened   float64
	closed   float64
	refunded float64
}

// holderBalance is what the holder of the duty can lend to a team.
type holderBalance struct {
	// available is the number of tokens that could be lent at the time updated, rate the tokens gained per
	// second, and maxLoan the largest possible loan.
	available float64
	rate      float64
	updated   time.Time
	maxLoan   float64
	valid     bool
}

// take spends tokens if they are available and no request of the same or a higher rank is waiting.
func (b *bucket) take(now time.Time, limits configurator.Team, r *Reservation, request Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(now, limits)
	b.forecast.add(request.Tokens)
	if b.queuePosition(request.Rank) > 0 {
		return false
	}
	return b.spend(r, request.Tokens)
}

// queuePosition returns the number of waiting reservations that precede a new one of the given rank.
func (b *bucket) queuePosition(rank int) int {
	for i, w := range b.queue {
		if w.rank < rank {
			return i
		}
	}
	return len(b.queue)
}

// refresh brings the balances up to the given time and to the limits in force.
func (b *bucket) refresh(now time.Time, limits configurator.Team) {
	if limits.Rate != b.limits.Rate || limits.Burst != b.limits.Burst {
		b.setLimits(now, limits)
	}
	if b.reserveActive {
		b.reserve.accrue(now)
	}
}

// setLimits changes the limits: it accrues at the lower of both rates up to now and shrinks the balances in
// proportion to a lowered burst.
func (b *bucket) setLimits(now time.Time, limits configurator.Team) {
	rate, bound := b.rule.reserveLimits(limits)
	if b.limits.Name != "" {
		b.reserve.rate = min(b.reserve.rate, rate)
		if b.reserveActive {
			b.reserve.accrue(now)
		}
		if limits.Burst < b.limits.Burst {
			ratio := float64(limits.Burst) / float64(b.limits.Burst)
			b.reserve.scale(ratio)
			b.loan = min(b.loan, b.loan*ratio)
		}
	}
	b.reserve.rate = rate
	b.reserve.bound = bound
	b.limits = limits
}

// spend takes tokens from the loan first, then from the reserve.
func (b *bucket) spend(r *Reservation, tokens int64) bool {
	need := float64(tokens)
	reserve := 0.0
	if b.reserveActive {
		reserve = max(0, b.reserve.level)
	}
	available := max(0, b.loan)
	if b.suspended {
		available = 0
	}
	if available+reserve < need || b.loan < 0 && b.loan+reserve < need {
		return false
	}
	fromLoan := min(need, available)
	b.loan -= fromLoan
	b.reserve.take(need - fromLoan)
	b.counters.opened += fromLoan / b.factor
	r.bucket = b
	r.tokens = tokens
	r.fromLoan = fromLoan
	r.loanSnapshot = accountSnapshot{
		era:    b.era,
		factor: b.factor,
	}
	r.reserveSnapshot = accountSnapshot{
		era:    b.reserve.era,
		factor: b.reserve.factor,
	}
	return true
}

// settle refunds the unused tokens of a reservation. Tokens used beyond the reservation are taken from the loan,
// which may become a debt.
func (b *bucket) settle(r *Reservation, used int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if used > r.tokens {
		b.loan -= float64(used - r.tokens)
		used = r.tokens
	}
	usedFromLoan := min(float64(used), r.fromLoan)
	b.refund(r, r.fromLoan-usedFromLoan)
	fromReserve := float64(r.tokens) - r.fromLoan
	b.reserve.settle(fromReserve, fromReserve-(float64(used)-usedFromLoan),
		r.reserveSnapshot.era, r.reserveSnapshot.factor)
	b.serveQueue()
}

// refund counts a settled reservation and its unused tokens from a loan, which the holder credits with the next
// demand.
func (b *bucket) refund(r *Reservation, unused float64) {
	if r.loanSnapshot.era != b.era || r.fromLoan == 0 {
		return
	}
	share := r.fromLoan / r.loanSnapshot.factor
	b.counters.closed += share
	b.counters.refunded += min(unused/b.factor, share)
	b.forecast.changed = true
}

// serveQueue grants waiting reservations in order as far as the balance allows.
func (b *bucket) serveQueue() {
	for len(b.queue) > 0 {
		first := b.queue[0]
		if !b.spend(first.reservation, first.tokens) {
			return
		}
		b.queue = b.queue[1:]
		first.answer <- nil
	}
}

// resetSession resets the counters and makes earlier reservations non-refundable, as a new session with the
// holder begins; dropLoan also discards the loan.
func (b *bucket) resetSession(dropLoan bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if dropLoan {
		b.loan = min(0, b.loan)
	}
	b.counters = counters{}
	b.era = 0
	b.factor = 1
	b.forecast.changed = true
}

// suspend stops the use of the loan and of the reserve.
func (b *bucket) suspend() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspended = true
	b.reserveActive = false
}

// resume allows the use of the loan again.
func (b *bucket) resume() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspended = false
}

// setReserveActive sets whether the reserve may be spent. While it may not, the reserve accrues nothing.
func (b *bucket) setReserveActive(now time.Time, reserveActive bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reserveActive && !b.reserveActive {
		b.reserve.updated = now
	}
	b.reserveActive = reserveActive
	if reserveActive {
		b.serveQueue()
	}
}

func newBucket(now time.Time, team string, rule rule) *bucket {
	return &bucket{
		team:          team,
		rule:          rule,
		reserveActive: !rule.lends(),
		factor:        1,
		reserve: account{
			factor:  1,
			updated: now,
		},
	}
}
