// Package waiter waits for a duration or for a condition, unless a context ends
// first.
package waiter

import (
	"context"
	"time"
)

// Pause waits for a duration. It returns false if the context ended first.
func Pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Poll checks a condition immediately and then at every interval until it is true.
// It returns false if the context ended first.
func Poll(ctx context.Context, interval time.Duration, condition func() bool) bool {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}
