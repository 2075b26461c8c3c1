package placer

import "time"

// loadPacer spaces the loads from the weight store, so that at most one begins in each
// interval. While it is unknown whether an ordered load has begun, no other is ordered.
type loadPacer struct {
	// next is the earliest time of the next load.
	next time.Time
	// pending is the number of ordered loads that may not have begun yet.
	pending int
}

// ready reports whether a load may be ordered now.
func (p *loadPacer) ready(now time.Time) bool { return p.pending == 0 && !now.Before(p.next) }

// begin records that a load is being ordered.
func (p *loadPacer) begin() { p.pending++ }

// end records the latest time at which an ordered load can have begun.
func (p *loadPacer) end(latest time.Time, interval time.Duration) {
	p.pending--
	p.holdUntil(latest.Add(interval))
}

// holdUntil blocks loads until a time.
func (p *loadPacer) holdUntil(until time.Time) {
	if until.After(p.next) {
		p.next = until
	}
}

// loadInterval returns the time between loads from the weight store that keeps all groups
// together within the store's rate in any second. If there are more groups than loads per
// second, the rate holds over the longer interval in which each group begins one load.
func (g *group) loadInterval() time.Duration {
	shares := max(1, len(g.config.Domains)) * g.config.DutyCount
	if perSecond := int(g.config.Settings.Loads) / shares; perSecond > 0 {
		return time.Second / time.Duration(perSecond)
	}
	return time.Duration(float64(shares) / g.config.Settings.Loads * float64(time.Second))
}
