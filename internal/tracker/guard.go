package tracker

import (
	"cmp"
	"context"
	"sync"
	"time"
)

const (
	defaultCheckInterval = 50 * time.Millisecond
	defaultTolerance     = 500 * time.Millisecond
	// driftDivisor bounds the tolerated rate difference of the two clocks: one part in driftDivisor
	// of the elapsed time.
	driftDivisor = 1000
)

// GuardConfig configures a Guard.
type GuardConfig struct {
	// Interval is the time between two checks by Run; zero means 50 ms.
	Interval time.Duration
	// Tolerance is the longest gap between two checks that does not count as a freeze; zero means
	// 500 ms.
	Tolerance time.Duration
	// Now is the monotonic clock; nil means time.Now.
	Now func() time.Time
	// Wall is the wall clock, which continues while the machine is suspended; nil means Now without
	// its monotonic reading.
	Wall func() time.Time
}

// Guard detects that the process was frozen: stopped by a signal, suspended with its machine, or
// starved of processor time. Suspensions that are too short to count alone are added up, since each
// of them uses up part of the safety margins of deadlines. Every check detects a freeze by itself,
// so code that checks the guard before it acts notices the freeze before any timer has run.
type Guard struct {
	config GuardConfig

	lock sync.Mutex
	// mono and wall are the two clocks at the last check.
	mono time.Time
	wall time.Time
	// lag is how far the monotonic clock fell behind the wall clock through short suspensions.
	lag time.Duration
	// generation counts the freezes.
	generation uint64
}

// NewGuard returns a Guard that detects freezes from now on.
func NewGuard(config GuardConfig) *Guard {
	config.Interval = cmp.Or(config.Interval, defaultCheckInterval)
	config.Tolerance = cmp.Or(config.Tolerance, defaultTolerance)
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Wall == nil {
		now := config.Now
		config.Wall = func() time.Time { return now().Round(0) }
	}
	return &Guard{
		config: config,
		mono:   config.Now(),
		wall:   config.Wall(),
	}
}

// Run checks for freezes at regular intervals until the context ends. It returns nil.
func (g *Guard) Run(ctx context.Context) error {
	g.loop(ctx)
	return nil
}

func (g *Guard) loop(ctx context.Context) {
	ticker := time.NewTicker(g.config.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.Check()
		}
	}
}

// Check looks for a freeze and counts one that has just ended.
func (g *Guard) Check() { g.Frozen(g.config.Now()) }

// Frozen reports whether the process was frozen since the last check, and counts that freeze. Only
// one caller sees a given freeze; use a Mark to detect every freeze since some point.
func (g *Guard) Frozen(now time.Time) bool {
	wall := g.config.Wall()
	g.lock.Lock()
	defer g.lock.Unlock()
	monoElapsed, wallElapsed := now.Sub(g.mono), wall.Sub(g.wall)
	g.lag = max(0, g.lag+wallElapsed-monoElapsed-max(0, monoElapsed)/driftDivisor)
	frozen := monoElapsed > g.config.Tolerance || wallElapsed > g.config.Tolerance || g.lag > g.config.Tolerance
	if frozen {
		g.generation++
		g.lag = 0
	}
	if now.After(g.mono) {
		g.mono = now
	}
	g.wall = wall
	return frozen
}

// Mark returns a Mark of the current time.
func (g *Guard) Mark() Mark {
	g.Check()
	g.lock.Lock()
	defer g.lock.Unlock()
	return Mark{
		guard:      g,
		generation: g.generation,
	}
}

// Generation returns the number of freezes so far, including one that ends with this call.
func (g *Guard) Generation() uint64 { return g.Mark().generation }
