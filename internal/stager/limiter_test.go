package stager

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLoadsDoNotOverloadTheStore simulates duties that start loads whenever they may. The weight
// store serves three loads at full speed; more of them take proportionally longer.
func TestLoadsDoNotOverloadTheStore(t *testing.T) {
	is := is.New(t)
	const (
		duties, atOnce       = 6, 3.0
		load, tick, duration = 8 * time.Second, 10 * time.Millisecond, 5 * time.Minute
	)
	type loading struct {
		limiter *loadLimiter
		left    time.Duration
		began   time.Time
	}
	now := time.Unix(1000, 0)
	var limiters []*loadLimiter
	for range duties {
		limiters = append(limiters, newLoadLimiter(now, 30, duties))
	}
	var running []*loading
	done, longest := 0, time.Duration(0)
	for end := now.Add(duration); now.Before(end); now = now.Add(tick) {
		for _, l := range limiters {
			if l.tryStart(now, now.Add(load)) {
				running = append(running, &loading{
					limiter: l,
					left:    load,
					began:   now,
				})
			}
		}
		step := time.Duration(float64(tick) * min(1, atOnce/float64(max(1, len(running)))))
		remaining := running[:0]
		for _, l := range running {
			if l.left -= step; l.left > 0 {
				remaining = append(remaining, l)
				continue
			}
			l.limiter.finish()
			done++
			longest = max(longest, now.Sub(l.began))
		}
		running = remaining
	}
	limit := atOnce * duration.Seconds() / load.Seconds()
	t.Logf("%d of the %.0f loads that the store allows were done, the longest took %v", done, limit, longest)
	is.True(longest <= load*duties/atOnce) // each shares the store with at most one load of each other duty
	is.True(float64(done) > 0.85*limit)
}
