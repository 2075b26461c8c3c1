package limiter

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/limiter/limiterpb"
)

const (
	// giftTTL is how long after its plea a gift is still accepted. During that time the donor's balance does
	// not grow back by what it gave, so that a late gift never adds to a balance that has accrued again.
	giftTTL = 300 * time.Millisecond
	// keptPart is the fraction of its bound that a pool does not give away.
	keptPart = 0.5
	// bufferRounds is how many rounds of its recent lending a pool aims to keep as a buffer.
	bufferRounds = 5
)

// usage is a snapshot of how many tokens a pool has denied and lent.
type usage struct {
	denied float64
	lent   float64
}

// gifts are the recent transfers to other failure domains.
type gifts struct {
	recent []gift
}

// gift is an amount that was given away and may still arrive until its deadline.
type gift struct {
	tokens   float64
	deadline time.Time
}

// total returns the tokens of the recent gifts, which lower the donor's bound.
func (g *gifts) total() float64 {
	total := 0.0
	for _, gift := range g.recent {
		total += gift.tokens
	}
	return total
}

// expire removes gifts that can no longer be accepted.
func (g *gifts) expire(now time.Time) {
	kept := g.recent[:0]
	for _, gift := range g.recent {
		if now.Before(gift.deadline) {
			kept = append(kept, gift)
		}
	}
	g.recent = kept
}

// shortfall returns the tokens to request from other domains, and starts a new count. Tokens for waiting
// requests may use the capacity that refunds of open reservations could fill, as the pool's own accrual does;
// tokens for the buffer may not.
func (p *pool) shortfall() float64 {
	denied, lent := p.denied-p.seen.denied, p.lent-p.seen.lent
	p.seen = usage{
		denied: p.denied,
		lent:   p.lent,
	}
	free := p.bound - p.level
	withBuffer := denied + max(0, bufferRounds*lent-p.level)
	return max(0, min(denied, free), min(withBuffer, free-p.open))
}

// give removes up to the requested number of tokens from the pool and returns how many.
func (p *pool) give(now time.Time, requested float64) float64 {
	given := min(sanitize(requested), p.level-keptPart*p.bound)
	if given < minAmount {
		return 0
	}
	p.level -= given
	p.gifts.recent = append(p.gifts.recent, gift{
		tokens:   given,
		deadline: now.Add(giftTTL),
	})
	p.updateBound()
	return given
}

// answerPlea gives tokens to the holder of another domain. If this instance does not hold the duty, the
// answer names the holder.
func (l *lender) answerPlea(plea *limiterpb.Plea) *limiterpb.Gift {
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
	for _, amount := range plea.GetAmounts() {
		p := l.pool(now, amount.GetTeam())
		if p == nil {
			continue
		}
		if given := p.give(now, amount.GetTokens()); given > 0 {
			answer.Amounts = append(answer.Amounts, &limiterpb.Amount{
				Team:   amount.GetTeam(),
				Tokens: given,
			})
		}
	}
	return answer
}

// shortfalls returns the epoch of the held duty and what each team's pool lacks.
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

// recordUnmet marks the teams for which the other domains gave less than half of what was requested from each
// of them.
func (l *lender) recordUnmet(epoch uint64, requested []*limiterpb.Amount, pleas []*plea) {
	given := make(map[string]float64, len(requested))
	for _, p := range pleas {
		for _, amount := range p.given {
			given[amount.GetTeam()] += sanitize(amount.GetTokens())
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
		if p != nil && given[amount.GetTeam()] < amount.GetTokens()*float64(len(l.limiter.config.Domains)-1)/2 {
			p.lastUnmet = now
		}
	}
}

// acceptGift credits a gift that was requested in the given epoch, if its deadline has not passed. If the
// process was paused past the deadline during the credit, it is undone.
func (l *lender) acceptGift(epoch uint64, deadline time.Time, amounts []*limiterpb.Amount) {
	if !l.beforeDeadline(deadline) {
		return
	}
	l.credit(epoch, amounts, 1)
	if !l.beforeDeadline(deadline) {
		l.credit(epoch, amounts, -1)
	}
}

// beforeDeadline reports whether a gift may still be accepted.
func (l *lender) beforeDeadline(deadline time.Time) bool {
	return l.limiter.acceptLateGifts || l.limiter.config.Now().Before(deadline)
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
