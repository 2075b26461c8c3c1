package stager

import (
	"time"

	"golang.org/x/time/rate"
)

// paceShare is the part of the weight store's rate that is used, since the
// instances' clocks and the groups' bursts are not exact.
const paceShare = 0.8

// pace bounds the loads from the weight store that one duty begins.
type pace struct {
	perSecond float64
	limiter   *rate.Limiter
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

func (p *pace) take(now time.Time) bool { return p.limiter.AllowN(now, 1) }

// next is when the pace allows another load.
func (p *pace) next(now time.Time) time.Time {
	reservation := p.limiter.ReserveN(now, 1)
	defer reservation.CancelAt(now)
	return now.Add(reservation.DelayFrom(now))
}
