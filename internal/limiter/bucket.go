package limiter

import (
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// bucket is what the instance may spend for one team.
type bucket struct {
	team string
	rule rule

	mu sync.Mutex
	// limits are those that the balances stand for.
	limits configurator.Team
	// reserve accrues without contact while standing is set.
	reserve  account
	standing bool
	// loan is what was lent and not yet spent; negative for a debt.
	loan float64
	// suspended keeps the loan from being spent until the holder has confirmed it.
	suspended bool
	count     counters
	// era and factor are the holder's scale of refunds.
	era    uint64
	factor float64
	demand demand
	// source is what the holder last said it has.
	source source
	// waiters are ordered by rank, then by when they came.
	waiters []*waiter
}

// counters are totals of a session or an era, in tokens.
type counters struct {
	credited float64
	returned float64
	// opened, closed and refunded count in units of the factor at their time.
	opened   float64
	closed   float64
	refunded float64
}

// source is what the holder of the duty has to lend to a team.
type source struct {
	// left is what it had at a time, rate what it gains a second.
	left  float64
	rate  float64
	at    time.Time
	limit float64
	known bool
}

// take spends tokens if they are there and nobody as urgent waits for them.
func (b *bucket) take(now time.Time, limits configurator.Team, r *Reservation, ask Ask) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(now, limits)
	b.demand.add(ask.Tokens)
	if b.behind(ask.Rank) > 0 {
		return false
	}
	return b.spend(r, ask.Tokens)
}

// behind is the number of waiting reservations that go before a new one.
func (b *bucket) behind(rank int) int {
	for i, w := range b.waiters {
		if w.rank < rank {
			return i
		}
	}
	return len(b.waiters)
}

// refresh brings the balances up to the time and to the limits in force.
func (b *bucket) refresh(now time.Time, limits configurator.Team) {
	if limits.Rate != b.limits.Rate || limits.Burst != b.limits.Burst {
		b.adapt(now, limits)
	}
	if b.standing {
		b.reserve.accrue(now)
	}
}

// adapt changes the limits: it accrues at the lower of both rates up to now
// and shrinks the balances in proportion to a lowered burst.
func (b *bucket) adapt(now time.Time, limits configurator.Team) {
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
	standing := 0.0
	if b.standing {
		standing = max(0, b.reserve.level)
	}
	available := max(0, b.loan)
	if b.suspended {
		available = 0
	}
	if available+standing < need || b.loan < 0 && b.loan+standing < need {
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

// settle refunds what a reservation did not use.
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
	b.serve()
}

// refund counts an unused loan, which the holder credits with the next demand.
func (b *bucket) refund(r *Reservation, unused float64) {
	if r.loan.era != b.era || r.loaned == 0 {
		return
	}
	share := r.loaned / r.loan.factor
	b.count.closed += share
	b.count.refunded += min(unused/b.factor, share)
	b.demand.changed = true
}

// serve answers waiting reservations in order as far as the balance goes.
func (b *bucket) serve() {
	for len(b.waiters) > 0 {
		first := b.waiters[0]
		if !b.spend(first.into, first.tokens) {
			return
		}
		b.waiters = b.waiters[1:]
		first.answer <- nil
	}
}

// forget drops loans and makes earlier reservations non-refundable, as a new
// session with the holder begins.
func (b *bucket) forget(void bool) {
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

// stand sets whether the reserve may be spent. It accrues nothing meanwhile.
func (b *bucket) stand(now time.Time, standing bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if standing && !b.standing {
		b.reserve.at = now
	}
	b.standing = standing
	if standing {
		b.serve()
	}
}

func newBucket(now time.Time, team string, rule rule) *bucket {
	return &bucket{
		team:     team,
		rule:     rule,
		standing: !rule.lends(),
		factor:   1,
		reserve: account{
			factor: 1,
			at:     now,
		},
	}
}
