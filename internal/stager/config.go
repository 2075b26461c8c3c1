package stager

import (
	"cmp"
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/holder"
	"github.com/buckthorngap/buckthorngap/internal/lister"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Term is one term of a duty: its epoch, and the check that the lease still holds.
type Term = holder.Fence

// Config configures a Stager.
type Config struct {
	// Self is this instance.
	Self messenger.Sender
	// Domains are the failure domains with engines.
	Domains func() []string
	// DutyCount is the number of duties that the engines of a domain are partitioned over.
	DutyCount int
	// Term returns the current term of a duty, if this instance holds it.
	Term func(duty string) (Term, bool)
	// Owner returns the holder of a duty of this domain and its epoch, if they are known.
	Owner func(duty string) (messenger.Peer, uint64, bool)
	// LiveMembers lists the other live instances of a failure domain.
	LiveMembers func(domain string) []tracker.Member
	// Call sends a message to a peer.
	Call messenger.Caller
	// Snapshot returns the configuration in force.
	Snapshot func() *configurator.Snapshot
	// Upstreams returns the list of upstreams.
	Upstreams func() []storer.Instance
	// Row returns the list entry of an engine with its latest report.
	Row func(engine string) (lister.Row, bool)
	// Order sends an order to an engine. It returns *Conflict, *Fenced or *Refused if the engine
	// does not carry it out, *Unsent if it did not reach the engine, and *Unanswered if that is not known.
	Order func(ctx context.Context, engine storer.Instance, order Order) (OrderResult, error)
	// Read reads an engine's own report.
	Read func(ctx context.Context, engine storer.Instance) (reporter.Report, error)
	// SetLoaded is called with a model or adapter that an engine holds, or holds no longer, before
	// the engine's list entry shows that.
	SetLoaded func(engine, checkpoint, adapter string, held bool)
	// GracePeriod is how long a new holder waits before its first order, so that its orders
	// do not alternate with those of the previous holder.
	GracePeriod time.Duration
	// AdapterLoadTime is how long loading an adapter takes; zero means DefaultAdapterLoadTime.
	AdapterLoadTime time.Duration
	// Now is the clock. It must advance while the process is suspended; nil means time.Now.
	Now func() time.Time
	// Log receives one line for each order and each refused load.
	Log logrus.FieldLogger
}

// DefaultAdapterLoadTime is the longest time that loading an adapter takes while the weight store
// is not overloaded, according to the users' specification.
const DefaultAdapterLoadTime = 14 * time.Millisecond

func (c Config) withDefaults() Config {
	c.DutyCount = max(1, c.DutyCount)
	c.AdapterLoadTime = cmp.Or(c.AdapterLoadTime, DefaultAdapterLoadTime)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.SetLoaded == nil {
		c.SetLoaded = func(string, string, string, bool) {}
	}
	return c
}
