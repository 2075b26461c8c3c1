package router

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/balancer"
	"github.com/buckthorngap/buckthorngap/internal/drainer"
	"github.com/buckthorngap/buckthorngap/internal/pacer"
)

// Choice is a slot that a request holds on an upstream, from Pick until Done.
type Choice struct {
	// Upstream is the name of the upstream.
	Upstream string
	// Address is the listen address of the upstream.
	Address netip.AddrPort
	// Version is the version of the upstream's software.
	Version string
	// Busy is the number of requests that ran or waited at the upstream when it was
	// chosen, including this one; Slots is the number that it runs concurrently.
	Busy  int
	Slots int
	// UncachedTokens is the estimated number of prompt tokens that the engine has not cached.
	UncachedTokens int64
	// Expected is what is believed of the upstream's load and pace, if it was chosen by them; zero otherwise.
	Expected balancer.Estimate
	// AdapterMissing is set if the upstream has to load the request's adapter first.
	AdapterMissing bool

	// start identifies the upstream's start when it was chosen.
	start  string
	router *Router
	target *upstream
	// probe is set if the request probes an open circuit.
	probe bool
	// tokens is the memory that the request occupies, in tokens.
	tokens   int64
	released atomic.Bool
}

// Observe records the load that an upstream stated in an answer.
func (c *Choice) Observe(load balancer.Load) {
	c.router.observe(c.target, c.router.config.Now(), load)
}

// CountSent counts a request that is sent to the upstream; repeated is set for a retry.
func (c *Choice) CountSent(repeated bool) {
	c.router.config.CountSent(c.target.paced(), repeated)
}

// ObserveLimit records what an answer states about the rate of requests that the upstream takes.
func (c *Choice) ObserveLimit(statement pacer.Statement) {
	c.router.config.ObserveLimit(c.target.paced(), statement)
}

// ObserveLeaving records that an answer states that the upstream leaves.
func (c *Choice) ObserveLeaving() {
	c.router.config.ObserveLeaving(drainer.Departure{
		Upstream: c.Upstream,
		Start:    c.start,
		Address:  c.Address,
	})
}

// ObservePause records that an answer states that the upstream wants no requests of this instance until a time. It returns
// whether that is new.
func (c *Choice) ObservePause(until time.Time) bool {
	if !c.target.pauseUntil(c.start, c.router.config.Now(), until) {
		return false
	}
	c.router.wake(c.target)
	c.router.config.Paused()
	return true
}

// Unwanted reports whether the upstream must not get the request any more: it is leaving or no longer listed, or wants no
// requests of this instance now.
func (c *Choice) Unwanted() bool {
	now := c.router.config.Now()
	c.target.mu.Lock()
	paused := now.Before(c.target.pause.until)
	c.target.mu.Unlock()
	return paused || c.target.leaving()
}

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
