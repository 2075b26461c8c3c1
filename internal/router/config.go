package router

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Config is what a Router needs.
type Config struct {
	// Domain is the failure domain whose upstreams are chosen.
	Domain string
	// Across is set if upstreams of other failure domains are chosen too, where
	// the own ones are not better.
	Across bool
	// Tokens returns the memory of the engines of a service for prompts and
	// answers, in tokens, and zero if it is not known; nil means not known.
	Tokens func(service string) int64
	// Upstreams is the platform's list of instances.
	Upstreams func() []storer.Instance
	// Report returns the latest load report of an upstream and when it was received.
	Report func(upstream string) (reporter.Report, time.Time, bool)
	// Changed is called when waiting requests may find room; may be nil. It must not block.
	Changed func()
	// Running is the number of requests that an engine runs at once where its report does not say.
	Running int
	// Failures is the number of consecutive failures that opens the circuit of an upstream.
	Failures int
	// Cooling is how long an open circuit stays open.
	Cooling time.Duration
	// Retries is the budget of retries as a fraction of requests.
	Retries float64
	// Saved returns the number of retries that can be saved up; nil means 10 and
	// that a new Router has saved as many.
	Saved func() float64
	// Herd always takes the emptier of two candidates. Tests set it to compare.
	Herd bool
	// Stay takes leaving upstreams for ones that stay. Tests set it to show that
	// they notice.
	Stay bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Random returns a number below n; nil means math/rand/v2.
	Random func(n uint64) uint64
}

// The defaults of Config.
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
