package limiter

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/limiter/limiterpb"
)

const (
	// transferTTL is how long after its request a transfer is still accepted. During that time the donor's bound
	// is reduced by the transferred tokens, so that no tokens are accrued in their place while they may still be
	// credited in the other domain.
	transferTTL = 300 * time.Millisecond
	// retainedFraction is the fraction of its bound that a pool does not transfer.
	retainedFraction = 0.5
	// bufferRounds is how many rounds of its recent lending a pool aims to keep as a buffer.
	bufferRounds = 5
)

// usage is a snapshot of the total tokens that a pool has denied and lent.
type usage struct {
	denied float64
	lent   float64
}

// transfers are the recent transfers to other failure domains.
type transfers struct {
	recent []transfer
}

// transfer is an amount that was debited here and may be credited in another failure domain until the deadline.
// On the wire, the request for it is a limiterpb.Plea and the answer a limiterpb.Gift.
type transfer struct {
	tokens   float64
	deadline time.Time
}

// total returns the tokens of the recent transfers, which lower the donor's bound.
func (t *transfers) total() float64 {
	total := 0.0
	for _, sent := range t.recent {
		total += sent.tokens
	}
	return total
}

// expire removes transfers that can no longer be accepted.
func (t *transfers) expire(now time.Time) {
	kept := t.recent[:0]
	for _, sent := range t.recent {
		if now.Before(sent.deadline) {
			kept = append(kept, sent)
		}
	}
	t.recent = kept
}

// shortfall returns the tokens to request from other domains: those denied since the last call, and those that
// the pool lacks to keep its buffer. Tokens for waiting requests may use the capacity that refunds of open
// reservations could fill, as the pool's own accrual does; tokens for the buffer may not.
func (p *pool) shortfall() float64 {
	denied, lent := p.denied-p.lastUsage.denied, p.lent-p.lastUsage.lent
	p.lastUsage = usage{
		denied: p.denied,
		lent:   p.lent,
	}
	free := p.bound - p.level
	withBuffer := denied + max(0, bufferRounds*lent-p.level)
	return max(0, min(denied, free), min(withBuffer, free-p.open))
}

// debitTransfer removes up to the requested number of tokens from the pool for a transfer and returns how many.
func (p *pool) debitTransfer(now time.Time, requested float64) float64 {
	debited := min(sanitize(requested), p.level-retainedFraction*p.bound)
	if debited < minAmount {
		return 0
	}
	p.level -= debited
	p.transfers.recent = append(p.transfers.recent, transfer{
		tokens:   debited,
		deadline: now.Add(transferTTL),
	})
	p.updateBound()
	return debited
}

// serveTransfer transfers tokens to the holder of another domain. If this instance does not hold the duty, the
// answer names the holder.
func (l *lender) serveTransfer(request *limiterpb.Plea) *limiterpb.Gift {
	now := l.limiter.config.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	answer := &limiterpb.Gift{}
	if !l.holdsDuty(now) || !l.ready {
		if owner, _, ok := l.limiter.config.Owner(l.duty); ok {
			answer.Holder = owner.Name
		}
		return answer
	}
	for _, amount := range request.GetAmounts() {
		p := l.pool(now, amount.GetTeam())
		if p == nil {
			continue
		}
		if debited := p.debitTransfer(now, amount.GetTokens()); debited > 0 {
			answer.Amounts = append(answer.Amounts, &limiterpb.Amount{
				Team:   amount.GetTeam(),
				Tokens: debited,
			})
		}
	}
	return answer
}

// shortfalls returns the epoch of the held duty and the tokens that each team's pool lacks; the epoch is zero if
// the duty is not held.
func (l *lender) shortfalls() (uint64, []*limiterpb.Amount) {
	now := l.limiter.config.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holdsDuty(now) || !l.ready {
		return 0, nil
	}
	var amounts []*limiterpb.Amount
	for team := range l.pools {
		p := l.pool(now, team)
		if p == nil {
			continue
		}
		if shortfall := p.shortfall(); shortfall >= 1 {
			amounts = append(amounts, &limiterpb.Amount{
				Team:   team,
				Tokens: shortfall,
			})
		}
	}
	return l.epoch, amounts
}

// recordUnmet marks the teams for which the other domains transferred less than half of the tokens that were
// requested from all of them together.
func (l *lender) recordUnmet(epoch uint64, requested []*limiterpb.Amount, requests []*transferRequest) {
	received := make(map[string]float64, len(requested))
	for _, r := range requests {
		for _, amount := range r.received {
			received[amount.GetTeam()] += sanitize(amount.GetTokens())
		}
	}
	now := l.limiter.config.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch != epoch {
		return
	}
	for _, amount := range requested {
		p := l.pools[amount.GetTeam()]
		if p != nil && received[amount.GetTeam()] < amount.GetTokens()*float64(len(l.limiter.config.Domains)-1)/2 {
			p.lastUnmet = now
		}
	}
}

// acceptTransfer credits a transfer that was requested in the given epoch, if its deadline has not passed. If the
// process was paused past the deadline during the credit, the credit is reverted.
func (l *lender) acceptTransfer(epoch uint64, deadline time.Time, amounts []*limiterpb.Amount) {
	if !l.beforeDeadline(deadline) {
		return
	}
	l.credit(epoch, amounts, 1)
	if !l.beforeDeadline(deadline) {
		l.credit(epoch, amounts, -1)
	}
}

// beforeDeadline reports whether a transfer with the given deadline may still be accepted.
func (l *lender) beforeDeadline(deadline time.Time) bool {
	return l.limiter.acceptLateTransfers || l.limiter.config.Now().Before(deadline)
}

// credit adds amounts to the pools of an epoch if the sign is 1, and removes them if it is -1.
func (l *lender) credit(epoch uint64, amounts []*limiterpb.Amount, sign float64) {
	now := l.limiter.config.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holdsDuty(now) || l.epoch != epoch {
		return
	}
	for _, amount := range amounts {
		if p := l.pool(now, amount.GetTeam()); p != nil {
			p.level += sign * sanitize(amount.GetTokens())
			p.clamp()
		}
	}
}
