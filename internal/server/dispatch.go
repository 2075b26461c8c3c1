package server

import "sync/atomic"

// dispatch records whether a call may run at most once and whether it has been sent to an upstream.
type dispatch struct {
	// atMostOnce is set if the call must not run twice.
	atMostOnce bool
	// sent is set right before the call is sent on; from then on it may have run.
	sent atomic.Bool
}

// abortable reports whether the call may be cancelled before it finishes: an at-most-once call
// may not be cancelled once it was sent.
func (d *dispatch) abortable() bool { return !d.atMostOnce || !d.sent.Load() }
