// Package clocker provides a clock that never jumps and that advances while the machine is suspended. Neither the wall
// clock nor the monotonic clock of the time package does both.
package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that never jumps and that, unlike the monotonic clock behind time.Now, advances while
// the machine is suspended. Leases and the detection of freezes need both.
type Boot struct {
	// base is the time of day when the clock was created.
	base time.Time
	// zero is the time since boot when the clock was created.
	zero time.Duration
}

// NewBoot returns a clock that starts at the current time of day and from then on counts the time since
// boot.
func NewBoot() *Boot {
	return &Boot{
		base: time.Now().Round(0),
		zero: sinceBoot(),
	}
}

// Now returns the time of this clock. The result has no monotonic clock reading, so that differences
// include the time of suspensions.
func (b *Boot) Now() time.Time { return b.base.Add(sinceBoot() - b.zero) }

// sinceBoot reads CLOCK_BOOTTIME. It panics if the machine has no such clock.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(&Unreadable{
			Cause: err,
		})
	}
	return time.Duration(now.Nano())
}
