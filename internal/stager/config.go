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

// Term is the holding of a duty at one epoch.
type Term = holder.Fence

// Config is what a Stager needs.
type Config struct {
	// Self is this instance.
	Self messenger.Sender
	// Domains are the failure domains with engines.
	Domains func() []string
	// Groups is the number of duties that the engines of a domain are divided over.
	Groups int
	// Term returns the holding of a duty, if this instance holds it.
	Term func(duty string) (Term, bool)
	// Owner returns the holder of a duty of the own domain, as far as known.
	Owner func(duty string) (messenger.Peer, uint64, bool)
	// Alive lists the other live instances of a failure domain.
	Alive func(domain string) []tracker.Member
	// Call sends a message to a peer.
	Call messenger.Caller
	// Snapshot is the configuration in force.
	Snapshot func() *configurator.Snapshot
	// Upstreams is the list of upstreams.
	Upstreams func() []storer.Instance
	// Row returns what an engine says of itself.
	Row func(engine string) (lister.Row, bool)
	// Order sends an order. It returns *Conflict, *Fenced, *Refused or *Lost if
	// the engine does not carry it out, or may not.
	Order func(ctx context.Context, engine storer.Instance, order Order) (Answer, error)
	// Read reads an engine's own report.
	Read func(ctx context.Context, engine storer.Instance) (reporter.Report, error)
	// Note is told what an engine holds or no longer holds, before its entry says so.
	Note func(engine, checkpoint, adapter string, held bool)
	// Quiet is how long a new holder waits before its first order, so that it
	// does not take turns with the former one.
	Quiet time.Duration
	// Adapter is how long the load of an adapter takes.
	Adapter time.Duration
	// Now is the clock, which must count suspensions; nil means time.Now.
	Now func() time.Time
	// Log gets one line for each order and each load that is refused.
	Log logrus.FieldLogger
}

// DefaultAdapter is how long the load of an adapter takes at most while the
// weight store is not crowded, by the users' sheets.
const DefaultAdapter = 14 * time.Millisecond

func (c Config) withDefaults() Config {
	c.Groups = max(1, c.Groups)
	c.Adapter = cmp.Or(c.Adapter, DefaultAdapter)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Note == nil {
		c.Note = func(string, string, string, bool) {}
	}
	return c
}
