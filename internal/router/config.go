package router

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/drainer"
	"github.com/buckthorngap/buckthorngap/internal/pacer"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Config configures a Router.
type Config struct {
	// Domain is the failure domain of this instance, whose upstreams are chosen.
	Domain string
	// OtherDomains also admits upstreams of other failure domains. For a request with prompt parts they
	// cost more, so that it goes there only if no upstream of the own domain has a lower cost.
	OtherDomains bool
	// EngineTokens returns the memory of a service's engines for prompts and answers, in
	// tokens, or zero if it is not known; nil means that it never is.
	EngineTokens func(service string) int64
	// Upstreams returns the platform's list of instances.
	Upstreams func() []storer.Instance
	// Report returns the latest load report of an upstream and when it was received.
	Report func(upstream string) (reporter.Report, time.Time, bool)
	// ObserveLeaving records that an answer of an upstream states that it leaves; nil means that such answers are ignored.
	ObserveLeaving func(departure drainer.Departure)
	// ObserveLimit records what an answer of an upstream states about the rate of requests that it takes;
	// nil means that limits are ignored.
	ObserveLimit func(upstream pacer.Upstream, statement pacer.Statement)
	// Admit takes a permit for a request to an upstream that has stated a limit; nil means that limits are
	// ignored.
	Admit func(upstream pacer.Upstream) pacer.Admission
	// AwaitPermit waits for a permit to resume a broken stream at an upstream; nil means that limits are ignored.
	AwaitPermit func(ctx context.Context, upstream pacer.Upstream) bool
	// LimitState returns what the limit of an upstream means for this instance's requests; nil means that
	// limits are ignored.
	LimitState func(upstream pacer.Upstream) pacer.State
	// RetryTime returns when a caller that is refused because of an upstream's limit should come back, at the
	// given time or later; nil means at the given time.
	RetryTime func(upstream pacer.Upstream, earliest time.Time) time.Time
	// CountSent counts a request that is sent to an upstream; repeated is set for a retry. May be nil.
	CountSent func(upstream pacer.Upstream, repeated bool)
	// StreamVersions returns the software versions at which new streams of a service may begin, for needs that are restricted
	// to versions and name none; nil means none.
	StreamVersions func(service string) []string
	// Changed is called when waiting requests may find a free slot. It must not
	// block; may be nil.
	Changed func()
	// Paused is called when an upstream begins to want no requests, so that waiting ones may be refused. It must not block;
	// may be nil.
	Paused func()
	// AssumedSlots is the number of slots of an engine whose report does not state it.
	AssumedSlots int
	// FailureThreshold is the number of consecutive failures that opens the circuit of an upstream.
	FailureThreshold int
	// Cooldown is how long an open circuit stays open.
	Cooldown time.Duration
	// RetryFraction is the number of retries that the retry budget allows, as a fraction of requests.
	RetryFraction float64
	// RetryCapacity returns the capacity of the retry budget, which starts half full; nil
	// means a capacity of 10 and a budget that starts full.
	RetryCapacity func() float64
	// AlwaysEmptier selects the emptier of two candidates instead of a weighted random one.
	// Tests set it to compare the two rules.
	AlwaysEmptier bool
	// IgnoreLeaving treats a leaving upstream like any other. Tests set it to prove that they
	// detect this fault.
	IgnoreLeaving bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Random returns a uniform random number below n; nil means math/rand/v2.
	Random func(n uint64) uint64
}

// Defaults of Config.
const (
	DefaultAssumedSlots     = 64
	DefaultFailureThreshold = 5
	DefaultCooldown         = 2 * time.Second
	DefaultRetryFraction    = 0.1
)

func (c Config) withDefaults() Config {
	c.AssumedSlots = cmp.Or(c.AssumedSlots, DefaultAssumedSlots)
	c.FailureThreshold = cmp.Or(c.FailureThreshold, DefaultFailureThreshold)
	c.Cooldown = cmp.Or(c.Cooldown, DefaultCooldown)
	c.RetryFraction = cmp.Or(c.RetryFraction, DefaultRetryFraction)
	if c.EngineTokens == nil {
		c.EngineTokens = func(string) int64 { return 0 }
	}
	if c.Changed == nil {
		c.Changed = func() {}
	}
	c = c.withUpstreamFunctions()
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Random == nil {
		c.Random = rand.Uint64N
	}
	return c
}

// withUpstreamFunctions replaces the functions that are not set of those that are called about upstreams.
func (c Config) withUpstreamFunctions() Config {
	if c.ObserveLeaving == nil {
		c.ObserveLeaving = func(drainer.Departure) {}
	}
	if c.StreamVersions == nil {
		c.StreamVersions = func(string) []string { return nil }
	}
	if c.Paused == nil {
		c.Paused = func() {}
	}
	if c.ObserveLimit == nil {
		c.ObserveLimit = func(pacer.Upstream, pacer.Statement) {}
	}
	if c.Admit == nil {
		c.Admit = func(pacer.Upstream) pacer.Admission { return pacer.Admitted }
	}
	if c.AwaitPermit == nil {
		c.AwaitPermit = func(context.Context, pacer.Upstream) bool { return true }
	}
	if c.LimitState == nil {
		c.LimitState = func(pacer.Upstream) pacer.State { return pacer.State{} }
	}
	if c.RetryTime == nil {
		c.RetryTime = func(_ pacer.Upstream, earliest time.Time) time.Time { return earliest }
	}
	if c.CountSent == nil {
		c.CountSent = func(pacer.Upstream, bool) {}
	}
	return c
}
