package queuer

import (
	"math"
	"time"
)

const (
	// throughputDecay is the time constant of the exponential decay of the measurement.
	throughputDecay = 10 * time.Second
	// minObservedTime is the observed time below which the throughput counts as unknown.
	minObservedTime = time.Second
)

// throughput measures how many tokens are placed a second while requests wait, as an exponentially decaying
// average.
type throughput struct {
	// tokens is the decayed number of placed tokens.
	tokens float64
	// observed is the decayed time that was counted.
	observed time.Duration
	// updatedAt is the time until which the decay was applied.
	updatedAt time.Time
}

// advance decays the measurement up to now, if the time since the last call is to be counted.
func (t *throughput) advance(now time.Time, counted bool) {
	elapsed := now.Sub(t.updatedAt)
	t.updatedAt = now
	if !counted || elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / throughputDecay.Seconds())
	t.tokens *= keep
	t.observed = time.Duration(float64(t.observed)*keep) + elapsed
}

// placed counts a placed request.
func (t *throughput) placed(tokens int64) { t.tokens += float64(tokens) }

// rate returns the throughput in tokens a second, or zero if it is unknown.
func (t *throughput) rate() float64 {
	if t.observed < minObservedTime || t.tokens <= 0 {
		return 0
	}
	return t.tokens / t.observed.Seconds()
}
