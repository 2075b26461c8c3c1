package pacer

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/holder"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
)

// Config configures a Pacer.
type Config struct {
	// Self is this instance's name and failure domain.
	Self messenger.Sender
	// Duties are the duties of a failure domain that its upstreams are divided over; at least one.
	Duties []string
	// Term returns this instance's term of a duty, if it may act under it now.
	Term func(duty string) (holder.Fence, bool)
	// Owner returns the holder of a duty of this failure domain, as far as it is known.
	Owner func(duty string) (messenger.Peer, uint64, bool)
	// Domains are the names of all failure domains, in the same order on all instances.
	Domains []string
	// LiveMembers returns the live instances of a failure domain except this one.
	LiveMembers func(domain string) []tracker.Member
	// Call sends a message.
	Call messenger.Caller
	// Instances returns the number of instances, including this one.
	Instances func() int
	// Listed reports whether a start of an upstream is still known; nil means yes.
	Listed func(upstream Upstream) bool
	// Changed is called when waiting requests may be admitted. It must not block; may be nil.
	Changed func()
	// Denied is called after Changed when an upstream's limit leaves no room for some time, so that requests that
	// would wait in vain can be refused. It must not block; may be nil.
	Denied func()
	// Now is the clock, which must be that of the requests: their times are compared with those of limits. nil
	// means time.Now.
	Now func() time.Time
	// Random returns a random number in [0, 1); nil means math/rand/v2.
	Random func() float64
	// Log receives one line for each change of a limit; nil disables it.
	Log logrus.FieldLogger
}

func (c Config) withDefaults() Config {
	if c.Listed == nil {
		c.Listed = func(Upstream) bool { return true }
	}
	if c.Changed == nil {
		c.Changed = func() {}
	}
	if c.Denied == nil {
		c.Denied = func() {}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		c.Log = silent
	}
	return c
}
