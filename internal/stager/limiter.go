package stager

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// storeRateShare is the fraction of the weight store's configured rate that is used. The margin
// covers differences between the instances' clocks and the bursts of the duties.
const storeRateShare = 0.8

// loadLimiter bounds the loads from the weight store that one duty starts: by their rate, and
// to one at a time. How many concurrent loads the store serves at full speed is not known, and
// more of them would only slow each other down.
type loadLimiter struct {
	// perSecond is the configured rate of all duties together.
	perSecond float64

	mu      sync.Mutex
	limiter *rate.Limiter
	// due is when the load under way should end; zero if none is under way.
	due time.Time
}

// newLoadLimiter returns the limiter of one of a number of duties that share a rate. It starts
// without a token, since a previous holder may have used it.
func newLoadLimiter(now time.Time, perSecond float64, duties int) *loadLimiter {
	tokens := rate.NewLimiter(rate.Limit(perSecond*storeRateShare/float64(max(1, duties))), 1)
	tokens.AllowN(now, 1)
	return &loadLimiter{
		perSecond: perSecond,
		limiter:   tokens,
	}
}

// tryStart starts a load that should end at the given time, and reports whether it may start.
func (l *loadLimiter) tryStart(now, due time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.due.IsZero() || !l.limiter.AllowN(now, 1) {
		return false
	}
	l.due = due
	return true
}

// finish ends the load under way.
func (l *loadLimiter) finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.due = time.Time{}
}

// nextStart returns when another load may start, as far as that is known.
func (l *loadLimiter) nextStart(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	reservation := l.limiter.ReserveN(now, 1)
	defer reservation.CancelAt(now)
	next := now.Add(max(reservation.DelayFrom(now), swapRetryInterval))
	if l.due.After(next) {
		return l.due
	}
	return next
}
