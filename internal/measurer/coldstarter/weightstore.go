package coldstarter

import (
	"slices"
	"time"
)

const (
	// weightSpeed is the full speed of one load, in bytes per second.
	weightSpeed = 2 * gigabyte
	// weightSlots is the number of loads that can run at full speed at once.
	weightSlots = 4
	// weightRate is the number of loads that may start within a second.
	weightRate = 3
	// diskSpeed and memorySpeed are the read speeds of an engine's caches, in bytes per second.
	diskSpeed   = 3 * gigabyte
	memorySpeed = 16 * gigabyte
)

// weightStore is the simulated weight store. If more loads run at once than it has
// slots, they share the combined speed of the slots equally.
type weightStore struct {
	now   time.Time
	loads []*fetch
	// startTimes are the times at which all loads so far started.
	startTimes []time.Time
	// speedFactor is the fraction of its full speed at which the store currently reads.
	speedFactor float64
	// peak is the highest number of concurrent loads, refused the number of loads above the rate limit.
	peak    int
	refused int
}

// fetch is one load from the weight store.
type fetch struct {
	engine string
	// remaining is the number of bytes that are still to be read.
	remaining float64
	done      func()
}

// begin starts a load that calls done when it is complete. It reports false if the rate limit refuses the load.
func (w *weightStore) begin(now time.Time, engine string, bytes int64, done func()) bool {
	w.advance(now)
	recent := 0
	for i := len(w.startTimes) - 1; i >= 0 && now.Sub(w.startTimes[i]) < time.Second; i-- {
		recent++
	}
	if recent >= weightRate {
		w.refused++
		return false
	}
	w.startTimes = append(w.startTimes, now)
	w.loads = append(w.loads, &fetch{
		engine:    engine,
		remaining: float64(bytes),
		done:      done,
	})
	w.peak = max(w.peak, len(w.loads))
	return true
}

// speed returns the current speed of each load, in bytes per second.
func (w *weightStore) speed() float64 {
	return w.speedFactor * weightSpeed * min(1, weightSlots/float64(max(1, len(w.loads))))
}

// advance advances all loads to the given time and completes those that have ended.
func (w *weightStore) advance(now time.Time) {
	transferred := now.Sub(w.now).Seconds() * w.speed()
	w.now = now
	kept := w.loads[:0]
	var done []*fetch
	for _, load := range w.loads {
		load.remaining -= transferred
		if load.remaining > 1 {
			kept = append(kept, load)
		} else {
			done = append(done, load)
		}
	}
	w.loads = kept
	for _, load := range done {
		load.done()
	}
}

// cancelLoads cancels the loads of an engine.
func (w *weightStore) cancelLoads(now time.Time, engine string) {
	w.advance(now)
	w.loads = slices.DeleteFunc(w.loads, func(load *fetch) bool { return load.engine == engine })
}

// setSpeedFactor sets the fraction of its full speed at which the store reads.
func (w *weightStore) setSpeedFactor(now time.Time, factor float64) {
	w.advance(now)
	w.speedFactor = factor
}

// nextCompletion returns the time at which the next load completes, and false if none runs.
func (w *weightStore) nextCompletion() (time.Time, bool) {
	if len(w.loads) == 0 {
		return time.Time{}, false
	}
	least := w.loads[0].remaining
	for _, load := range w.loads {
		least = min(least, load.remaining)
	}
	return w.now.Add(time.Duration(least/w.speed()*float64(time.Second)) + time.Microsecond), true
}
