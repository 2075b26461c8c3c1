package router

import (
	"net/netip"
	"sync/atomic"
)

// Choice is a place on an upstream.
type Choice struct {
	// Upstream is its name.
	Upstream string
	// Address is where it listens.
	Address netip.AddrPort
	// Busy is the number of requests that ran or waited there, Slots how many it
	// runs at once, when it was chosen.
	Busy  int
	Slots int
	// Unread is how much of the prompt it likely has to read, in tokens.
	Unread int64
	// Missing is set if the adapter of the request has to be loaded there first.
	Missing bool

	router *Router
	target *upstream
	probe  bool
	tokens int64
	ended  atomic.Bool
}

// Observe takes what an answer told of the upstream's load: the requests that
// run or wait there, and its slots if that is not zero.
func (c *Choice) Observe(busy, slots int) {
	c.target.observe(c.router.config.Now(), busy, slots)
}

// Result tells what an attempt says of its upstream.
type Result int

// The results of an attempt.
const (
	// Neutral attempts say nothing of the upstream's health.
	Neutral Result = iota
	// Good attempts were answered.
	Good
	// Bad attempts failed.
	Bad
	// Unreachable attempts made no connection.
	Unreachable
)

// Done gives the place back. Further calls do nothing.
func (c *Choice) Done(result Result) {
	if c.ended.Swap(true) {
		return
	}
	if c.target.done(c.router.config, result, c.probe, c.tokens) {
		c.router.config.Changed()
	}
}
