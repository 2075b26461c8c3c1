package limiter

import "time"

// minFactor is the refund factor below which all open reservations are absorbed.
const minFactor = 1e-6

// account is a token bucket of one team that also counts unsettled reservations. The sum of level and open
// grows only by accrual and credit and never exceeds bound, so that a refund cannot restore tokens that a
// full bucket would have discarded since the reservation.
type account struct {
	// level is the number of tokens that may be spent.
	level float64
	// open is the number of tokens that unsettled reservations may still refund.
	open float64
	// factor is the present scale of refunds: a reservation of n tokens made at factor f gets at most
	// n*factor/f back. It shrinks whenever a part of open is absorbed.
	factor float64
	// era is incremented when all open reservations are absorbed; reservations of an earlier era get no
	// refund.
	era uint64
	// rate is in tokens per second.
	rate    float64
	bound   float64
	updated time.Time
}

// accrue adds the tokens gained since the last call, up to the bound.
func (a *account) accrue(now time.Time) {
	elapsed := now.Sub(a.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	a.updated = now
	a.level += a.rate * elapsed
	a.clamp()
}

// clamp absorbs open reservations, then reduces the level, until their sum is within the bound.
func (a *account) clamp() {
	excess := a.level + a.open - a.bound
	if excess <= 0 {
		return
	}
	excess -= a.absorb(excess)
	if excess > 0 && a.level > 0 {
		a.level = max(0, a.level-excess)
	}
}

// absorb makes up to the given number of open tokens non-refundable, in proportion over all open
// reservations, and returns how many it absorbed.
func (a *account) absorb(tokens float64) float64 {
	if a.open <= 0 {
		return 0
	}
	remaining := a.factor * (1 - tokens/a.open)
	if remaining < minFactor {
		absorbed := a.open
		a.open = 0
		a.factor = 1
		a.era++
		return absorbed
	}
	a.factor = remaining
	a.open -= tokens
	return tokens
}

// scale shrinks the balance in proportion to a lowered burst.
func (a *account) scale(ratio float64) {
	a.absorb(a.open * (1 - ratio))
	if a.level > 0 {
		a.level *= ratio
	}
}

// take moves tokens from the balance to an open reservation.
func (a *account) take(tokens float64) {
	a.level -= tokens
	a.open += tokens
}

// settle ends a reservation made in the given era and at the given factor, and credits its unused tokens as
// far as they were not absorbed.
func (a *account) settle(tokens, unused float64, era uint64, factor float64) {
	if era != a.era || factor <= 0 {
		return
	}
	refundable := min(tokens*a.factor/factor, a.open)
	a.open -= refundable
	a.level += min(unused, refundable)
}
