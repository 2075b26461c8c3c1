// Package clocker reads clocks that the time package does not offer.
package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that never jumps and that goes on while the machine is
// suspended, unlike the monotonic clock behind time.Now.
type Boot struct {
	base time.Time
	zero time.Duration
}

// NewBoot returns a clock that shows the time of day now and counts from here
// by the time since boot.
func NewBoot() *Boot {
	return &Boot{
		base: time.Now().Round(0),
		zero: sinceBoot(),
	}
}

// Now is the time by this clock. It carries no reading of the monotonic clock,
// so that differences count suspensions.
func (b *Boot) Now() time.Time { return b.base.Add(sinceBoot() - b.zero) }

func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(&Unreadable{
			Cause: err,
		})
	}
	return time.Duration(now.Nano())
}
