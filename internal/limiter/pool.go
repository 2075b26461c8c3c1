package limiter

import (
	"math"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/limiter/limiterpb"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// bufferFraction is the fraction of maxOutstanding that instances may hold ahead of need; the rest is kept
// for waiting requests.
const bufferFraction = 0.75

// pool is the holder's balance of one team for its domain, in tokens. The open reservations of its account
// are those that instances made from loans.
type pool struct {
	account
	limits configurator.Team
	// outstanding is an upper bound of the loans that instances hold.
	outstanding float64
	// burstShare is the domain's share of the burst, unreservedBurst the same less the reserves.
	burstShare      float64
	unreservedBurst float64
	// debt is the number of tokens that holders of earlier epochs may have lent and that are not accounted for.
	debt float64
	// maxOutstanding is the present limit of outstanding, maxLoan what it would be without debts.
	maxOutstanding float64
	maxLoan        float64
	// denied is the total of the needed tokens that were not available, lent the total of the lent tokens.
	denied float64
	lent   float64
	// otherDomainsRate is the rate of the other failure domains, which may transfer some of it; lastUnmet is when
	// they last transferred less than half of the requested tokens.
	otherDomainsRate float64
	lastUnmet        time.Time
	// lastUsage is what had been denied and lent when the last shortfall was computed.
	lastUsage usage
	transfers transfers
}

// report updates a loan account with what an instance reports.
func (p *pool) report(acct *loanAccount, want *limiterpb.Want) {
	held := sanitize(want.GetHeld()) + max(0, acct.granted-sanitize(want.GetCredited()))
	p.outstanding += held - acct.outstanding
	acct.outstanding = held
	if returned := sanitize(want.GetReturned()) - acct.returned; returned > 0 {
		acct.returned += returned
		p.level += returned
	}
	if want.GetEra() == p.era {
		p.refund(acct, want)
	}
	p.updateBound()
}

// updateBound limits the balance to the unreserved burst less loans, debts and recent transfers.
func (p *pool) updateBound() {
	p.bound = max(0, p.unreservedBurst-p.debt-p.outstanding-p.transfers.total())
	p.clamp()
}

// refund updates the open reservations and credits refunds that an instance reports.
func (p *pool) refund(acct *loanAccount, want *limiterpb.Want) {
	if acct.era != p.era {
		acct.era = p.era
		acct.opened = 0
		acct.closed = 0
		acct.refunded = 0
	}
	opened := sanitize(want.GetOpened()) - acct.opened
	closed := sanitize(want.GetClosed()) - acct.closed
	refunded := sanitize(want.GetRefunded()) - acct.refunded
	if opened < 0 || closed < 0 || refunded < 0 || refunded > closed+minAmount {
		return
	}
	acct.opened += opened
	acct.closed += closed
	acct.refunded += refunded
	p.open += opened * p.factor
	refundable := min(closed*p.factor, p.open)
	p.open -= refundable
	p.level += min(refunded*p.factor, refundable)
}

// lend lends tokens to an instance: what its waiting requests need, and a part of what it wants to hold ahead of
// need.
func (p *pool) lend(acct *loanAccount, want *limiterpb.Want, members int) {
	available := max(0, min(p.level, p.maxOutstanding-p.outstanding))
	needed := sanitize(want.GetNeeded())
	granted := min(needed, available)
	p.denied += needed - granted
	buffer := sanitize(want.GetTarget()) - (acct.outstanding + granted - needed)
	spare := max(0, min(p.level-granted, bufferFraction*p.maxOutstanding-p.outstanding-granted))
	granted += max(0, min(buffer, spare/float64(max(members, 1))))
	if granted < minAmount {
		return
	}
	p.level -= granted
	p.lent += granted
	p.outstanding += granted
	acct.outstanding += granted
	acct.granted += granted
}

// loanMessage returns the state of an instance's loan account for a grant.
func (p *pool) loanMessage(team string, acct *loanAccount) *limiterpb.Loan {
	return &limiterpb.Loan{
		Team:    team,
		Granted: acct.granted,
		Left:    max(0, min(p.level, p.maxOutstanding-p.outstanding)),
		Rate:    p.rate + p.expectedRate(),
		Limit:   p.maxLoan,
		Burst:   float64(p.limits.Burst),
		Era:     p.era,
		Factor:  p.factor,
	}
}

// unmetBackoff is how long no transfers are expected from other failure domains after they transferred less than
// half of the requested tokens.
const unmetBackoff = 2 * time.Second

// expectedRate returns the rate at which other failure domains may transfer tokens. A request that this rate can
// serve in time waits, instead of being refused before the other domains have answered a transfer request.
func (p *pool) expectedRate() float64 {
	if p.updated.Sub(p.lastUnmet) < unmetBackoff {
		return 0
	}
	return p.otherDomainsRate
}

// clear discards the loans of an instance that can no longer spend them.
func (p *pool) clear(acct *loanAccount) {
	p.outstanding -= acct.outstanding
	*acct = loanAccount{}
}

// sanitize replaces a value from another instance that is not a finite, non-negative number with zero.
func sanitize(value float64) float64 {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		return 0
	}
	return value
}

// setLimits changes the limits: it accrues at the lower of both rates up to now and shrinks the balance in
// proportion to a lowered burst.
func (p *pool) setLimits(now time.Time, limits configurator.Team) {
	if p.limits.Rate > limits.Rate && p.limits.Rate > 0 {
		p.rate *= limits.Rate / p.limits.Rate
	}
	p.accrue(now)
	if limits.Burst < p.limits.Burst {
		p.scale(float64(limits.Burst) / float64(p.limits.Burst))
	}
	p.limits = limits
}
