package server

import (
	"sync"
	"sync/atomic"
)

// dispatch records whether a call may run at most once and whether an upstream has it.
type dispatch struct {
	// atMostOnce is set if the call must not run twice.
	atMostOnce bool
	// sent is set right before the call is first sent on; from then on it may have run.
	sent atomic.Bool

	mu sync.Mutex
	// forwarded is set while an upstream may have the call.
	forwarded bool
}

// forward records that the call is about to be sent to an upstream.
func (d *dispatch) forward() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent.Store(true)
	d.forwarded = true
}

// requeue records that the call waits for an upstream again, after one ended its attempt.
func (d *dispatch) requeue() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forwarded = false
}

// ifWaiting calls abort unless an upstream may have the call. The call cannot be sent on meanwhile.
func (d *dispatch) ifWaiting(abort func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.forwarded {
		abort()
	}
}
