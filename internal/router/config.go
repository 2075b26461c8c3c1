package router

import (
	"cmp"
	"math/rand/v2"
	"time"

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
	// Tokens returns the memory of a service's engines for prompts and answers, in
	// tokens, or zero if it is not known; nil means that it never is.
	Tokens func(service string) int64
	// Upstreams returns the platform's list of instances.
	Upstreams func() []storer.Instance
	// Report returns the latest load report of an upstream and when it was received.
	Report func(upstream string) (reporter.Report, time.Time, bool)
	// Changed is called when waiting requests may find a free slot. It must not
	// block; may be nil.
	Changed func()
	// Running is the number of slots of an engine whose report does not state it.
	Running int
	// Failures is the number of consecutive failures that opens the circuit of an upstream.
	Failures int
	// Cooling is how long an open circuit stays open.
	Cooling time.Duration
	// Retries is the budget of retries as a fraction of requests.
	Retries float64
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
	DefaultRunning  = 64
	DefaultFailures = 5
	DefaultCooling  = 2 * time.Second
	DefaultRetries  = 0.1
)

func (c Config) withDefaults() Config {
	c.Running = cmp.Or(c.Running, DefaultRunning)
	c.Failures = cmp.Or(c.Failures, DefaultFailures)
	c.Cooling = cmp.Or(c.Cooling, DefaultCooling)
	c.Retries = cmp.Or(c.Retries, DefaultRetries)
	if c.Tokens == nil {
		c.Tokens = func(string) int64 { return 0 }
	}
	if c.Changed == nil {
		c.Changed = func() {}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Random == nil {
		c.Random = rand.Uint64N
	}
	return c
}
