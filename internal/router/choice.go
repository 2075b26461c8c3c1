package router

import (
	"net/netip"
	"sync/atomic"
)

// Choice is a slot that a request holds on an upstream, from Pick until Done.
type Choice struct {
	// Upstream is the name of the upstream.
	Upstream string
	// Address is the listen address of the upstream.
	Address netip.AddrPort
	// Busy is the number of requests that ran or waited at the upstream when it was
	// chosen, including this one; Slots is the number that it runs concurrently.
	Busy  int
	Slots int
	// UncachedTokens is the estimated number of prompt tokens that the engine has not cached.
	UncachedTokens int64
	// AdapterMissing is set if the upstream has to load the request's adapter first.
	AdapterMissing bool

	router   *Router
	target   *upstream
	probe    bool
	tokens   int64
	released atomic.Bool
}

// Observe records the load that an upstream reported in an answer: its running
// and waiting requests, and its slots unless they are zero.
func (c *Choice) Observe(busy, slots int) {
	c.target.observe(c.router.config.Now(), busy, slots)
}

// Result is the outcome of an attempt as it bears on the upstream's health.
type Result int

// The results of an attempt.
const (
	// Neutral attempts say nothing about the upstream's health.
	Neutral Result = iota
	// Good attempts were answered; they close the circuit.
	Good
	// Bad attempts failed; enough in a row open the circuit.
	Bad
	// Unreachable attempts could not connect; one opens the circuit.
	Unreachable
)

// Done releases the slot and records the result of the attempt. Further calls do
// nothing.
func (c *Choice) Done(result Result) {
	if c.released.Swap(true) {
		return
	}
	if c.target.release(c.router.config, result, c.probe, c.tokens) {
		c.router.config.Changed()
	}
}
