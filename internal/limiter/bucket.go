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
	// reserve accrues locally, without contact to the holder, while standing is set.
	reserve  account
	standing bool
	// loan is the number of tokens lent and not yet spent; negative for a debt.
	loan float64
	// suspended blocks the loan until the holder has confirmed it.
	suspended bool
	count     counters
	// era and factor are the holder's scale of refunds, as in account.
	era    uint64
	factor float64
	demand demand
	// holder is the last known balance of the holder.
	holder holderBalance
	// waiters are ordered by rank, then by arrival.
	waiters []*waiter
}

// counters are totals of a session or an era, in tokens.
type counters struct {
	credited float64
	returned float64
	// opened, closed and refunded are divided by the factor in force when they were counted.
	opened   float64
	closed   float64
	refunded float64
}

// holderBalance is what the holder of the duty can lend to a team.
type holderBalance struct {
	// left is its balance at a time, rate what it gains a second, limit its largest possible loan.
	left  float64
	rate  float64
	at    time.Time
	limit float64
	known bool
}

// take spends tokens if they are available and no request of the same or a higher rank is waiting.
func (b *bucket) take(now time.Time, limits configurator.Team, r *Reservation, request Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(now, limits)
	b.demand.add(request.Tokens)
	if b.queuePosition(request.Rank) > 0 {
		return false
	}
	return b.spend(r, request.Tokens)
}

// queuePosition returns the number of waiting reservations that precede a new one of the given rank.
func (b *bucket) queuePosition(rank int) int {
	for i, w := range b.waiters {
		if w.rank < rank {
			return i
		}
	}
	return len(b.waiters)
}

// refresh brings the balances up to the given time and to the limits in force.
func (b *bucket) refresh(now time.Time, limits configurator.Team) {
	if limits.Rate != b.limits.Rate || limits.Burst != b.limits.Burst {
		b.setLimits(now, limits)
	}
	if b.standing {
		b.reserve.accrue(now)
	}
}

// setLimits changes the limits: it accrues at the lower of both rates up to now and shrinks the balances in
// proportion to a lowered burst.
func (b *bucket) setLimits(now time.Time, limits configurator.Team) {
	rate, bound := b.rule.reserve(limits)
	if b.limits.Name != "" {
		b.reserve.rate = min(b.reserve.rate, rate)
		if b.standing {
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
	if b.standing {
		reserve = max(0, b.reserve.level)
	}
	available := max(0, b.loan)
	if b.suspended {
		available = 0
	}
	if available+reserve < need || b.loan < 0 && b.loan+reserve < need {
		return false
	}
	loaned := min(need, available)
	b.loan -= loaned
	b.reserve.take(need - loaned)
	b.count.opened += loaned / b.factor
	r.bucket = b
	r.tokens = tokens
	r.loaned = loaned
	r.loan = stamp{
		era:    b.era,
		factor: b.factor,
	}
	r.reserve = stamp{
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
	spent := min(float64(used), r.loaned)
	b.refund(r, r.loaned-spent)
	reserved := float64(r.tokens) - r.loaned
	b.reserve.settle(reserved, reserved-(float64(used)-spent), r.reserve.era, r.reserve.factor)
	b.serveWaiters()
}

// refund counts the unused part of a loan, which the holder credits with the next demand.
func (b *bucket) refund(r *Reservation, unused float64) {
	if r.loan.era != b.era || r.loaned == 0 {
		return
	}
	share := r.loaned / r.loan.factor
	b.count.closed += share
	b.count.refunded += min(unused/b.factor, share)
	b.demand.changed = true
}

// serveWaiters answers waiting reservations in order as far as the balance allows.
func (b *bucket) serveWaiters() {
	for len(b.waiters) > 0 {
		first := b.waiters[0]
		if !b.spend(first.into, first.tokens) {
			return
		}
		b.waiters = b.waiters[1:]
		first.answer <- nil
	}
}

// resetSession resets the counters and makes earlier reservations non-refundable, as a new session with the
// holder begins; void also drops the loan.
func (b *bucket) resetSession(void bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if void {
		b.loan = min(0, b.loan)
	}
	b.count = counters{}
	b.era = 0
	b.factor = 1
	b.demand.changed = true
}

// suspend stops the use of the loan and of the reserve.
func (b *bucket) suspend() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspended = true
	b.standing = false
}

// resume allows the use of the loan again.
func (b *bucket) resume() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspended = false
}

// setStanding sets whether the reserve may be spent. While it may not, the reserve accrues nothing.
func (b *bucket) setStanding(now time.Time, standing bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if standing && !b.standing {
		b.reserve.updated = now
	}
	b.standing = standing
	if standing {
		b.serveWaiters()
	}
}

func newBucket(now time.Time, team string, rule rule) *bucket {
	return &bucket{
		team:     team,
		rule:     rule,
		standing: !rule.lends(),
		factor:   1,
		reserve: account{
			factor:  1,
			updated: now,
		},
	}
}
