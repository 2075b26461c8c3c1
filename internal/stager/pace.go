package stager

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// paceShare is the part of the weight store's rate that is used, since the
// instances' clocks and the groups' bursts are not exact.
const paceShare = 0.8

// pace bounds the loads from the weight store that one duty begins: by their
// rate, and to one at a time. Nobody tells how many at once the store carries at
// full speed; more of them only make each other late.
type pace struct {
	perSecond float64

	mu      sync.Mutex
	limiter *rate.Limiter
	// due is when the load under way should be done; zero if there is none.
	due time.Time
}

// newPace returns the pace of one of a number of duties that share a rate. It
// starts empty, since a former holder may have used it.
func newPace(now time.Time, perSecond float64, duties int) *pace {
	limiter := rate.NewLimiter(rate.Limit(perSecond*paceShare/float64(max(1, duties))), 1)
	limiter.AllowN(now, 1)
	return &pace{
		perSecond: perSecond,
		limiter:   limiter,
	}
}

// take begins a load that should be done at a time, if one may begin.
func (p *pace) take(now, due time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.due.IsZero() || !p.limiter.AllowN(now, 1) {
		return false
	}
	p.due = due
	return true
}

// done ends the load under way.
func (p *pace) done() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.due = time.Time{}
}

// next is when another load may begin, as far as that is known.
func (p *pace) next(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	reservation := p.limiter.ReserveN(now, 1)
	defer reservation.CancelAt(now)
	next := now.Add(max(reservation.DelayFrom(now), swapPause))
	if p.due.After(next) {
		return p.due
	}
	return next
}
