package pacer

import "time"

const (
	// fallbackTTL is how long a permit of the fallback may be used. It is longer than the time between two attempts
	// to place waiting requests.
	fallbackTTL = 300 * time.Millisecond
	// fallbackShare is the fraction of the limit that all instances together use without a holder.
	fallbackShare = 1.0 / 3
)

// fallback gives an instance permits of its own while the holder of an upstream's duty cannot be reached: all instances
// together fallbackShare of the limit, since the holder may go on granting the whole of it to others. The permits
// come at random times and are not saved up, so that those of many instances do not coincide.
type fallback struct {
	next time.Time
	// mean is the mean time between two permits.
	mean   time.Duration
	random func() float64
}

// newFallback returns the fallback of one of a number of instances.
func newFallback(now time.Time, l limit, instances int, random func() float64) *fallback {
	f := &fallback{
		mean:   time.Duration(float64(max(1, instances)) / fallbackShare * float64(l.interval())),
		random: random,
	}
	f.next = now.Add(time.Duration(random() * float64(f.mean)))
	return f
}

// after returns the time of the permit that follows one at a given time.
func (f *fallback) after(t time.Time) time.Time {
	return t.Add(time.Duration((0.5 + f.random()) * float64(f.mean)))
}

// due returns the time of the next permit, after those that have expired unused.
func (f *fallback) due(now time.Time) time.Time {
	for now.Sub(f.next) > fallbackTTL {
		f.next = f.after(f.next)
	}
	return f.next
}

// take uses the permit that is due, if there is one. It may be called on nil.
func (f *fallback) take(now time.Time) bool {
	if f == nil {
		return false
	}
	if now.Before(f.due(now)) {
		return false
	}
	f.next = f.after(f.next)
	return true
}
