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

// FreezeDetectorConfig configures a FreezeDetector.
type FreezeDetectorConfig struct {
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

// FreezeDetector detects that the process was frozen: stopped by a signal, suspended with its
// machine, or starved of processor time. Suspensions that are too short to count alone are added up,
// since each of them uses up part of the safety margins of deadlines. Every check detects a freeze
// by itself, so code that checks the detector before it acts notices the freeze before any timer has
// run.
type FreezeDetector struct {
	config FreezeDetectorConfig

	lock sync.Mutex
	// mono and wall are the two clocks at the last check.
	mono time.Time
	wall time.Time
	// lag is how far the monotonic clock fell behind the wall clock through short suspensions.
	lag time.Duration
	// generation counts the freezes.
	generation uint64
}

// NewFreezeDetector returns a FreezeDetector that detects freezes from now on.
func NewFreezeDetector(config FreezeDetectorConfig) *FreezeDetector {
	config.Interval = cmp.Or(config.Interval, defaultCheckInterval)
	config.Tolerance = cmp.Or(config.Tolerance, defaultTolerance)
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Wall == nil {
		now := config.Now
		config.Wall = func() time.Time { return now().Round(0) }
	}
	return &FreezeDetector{
		config: config,
		mono:   config.Now(),
		wall:   config.Wall(),
	}
}

// Run checks for freezes at regular intervals until the context ends. It returns nil.
func (d *FreezeDetector) Run(ctx context.Context) error {
	d.loop(ctx)
	return nil
}

func (d *FreezeDetector) loop(ctx context.Context) {
	ticker := time.NewTicker(d.config.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.Check()
		}
	}
}

// Check looks for a freeze and counts one that has just ended.
func (d *FreezeDetector) Check() { d.Frozen(d.config.Now()) }

// Frozen reports whether the process was frozen since the last check, and counts that freeze. Only
// one caller sees a given freeze; use a Mark to detect every freeze since some point.
func (d *FreezeDetector) Frozen(now time.Time) bool {
	wall := d.config.Wall()
	d.lock.Lock()
	defer d.lock.Unlock()
	monoElapsed, wallElapsed := now.Sub(d.mono), wall.Sub(d.wall)
	d.lag = max(0, d.lag+wallElapsed-monoElapsed-max(0, monoElapsed)/driftDivisor)
	frozen := monoElapsed > d.config.Tolerance || wallElapsed > d.config.Tolerance || d.lag > d.config.Tolerance
	if frozen {
		d.generation++
		d.lag = 0
	}
	if now.After(d.mono) {
		d.mono = now
	}
	d.wall = wall
	return frozen
}

// Mark returns a Mark of the current time.
func (d *FreezeDetector) Mark() Mark {
	d.Check()
	d.lock.Lock()
	defer d.lock.Unlock()
	return Mark{
		detector:   d,
		generation: d.generation,
	}
}

// Generation returns the number of freezes so far, including one that ends with this call.
func (d *FreezeDetector) Generation() uint64 { return d.Mark().generation }
