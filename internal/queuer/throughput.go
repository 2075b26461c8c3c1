package queuer

import (
	"math"
	"time"
)

const (
	// paceMemory is the time constant over which the pace of placements is averaged.
	paceMemory = 10 * time.Second
	// minPaceTime is the time of observation below which the pace counts as unknown.
	minPaceTime = time.Second
)

// pace measures how many tokens are placed a second while requests wait, as an exponentially decaying
// average.
type pace struct {
	tokens float64
	busy   time.Duration
	at     time.Time
}

// advance decays the measurement up to now; waiting reports whether requests waited since the last call.
func (p *pace) advance(now time.Time, waiting bool) {
	elapsed := now.Sub(p.at)
	p.at = now
	if !waiting || elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / paceMemory.Seconds())
	p.tokens *= keep
	p.busy = time.Duration(float64(p.busy)*keep) + elapsed
}

// placed counts a placed request.
func (p *pace) placed(tokens int64) { p.tokens += float64(tokens) }

// rate returns the pace in tokens a second, or zero if it is unknown.
func (p *pace) rate() float64 {
	if p.busy < minPaceTime || p.tokens <= 0 {
		return 0
	}
	return p.tokens / p.busy.Seconds()
}
