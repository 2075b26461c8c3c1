package holder

import (
	"cmp"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	defaultLease     = 6 * time.Second
	defaultMargin    = time.Second
	defaultDeath     = 12 * time.Second
	defaultExtension = 15 * time.Second
	defaultWitnesses = 3

	renewals     = 3
	ticks        = 24
	callTimeout  = 500 * time.Millisecond
	storeTimeout = time.Second
)

// Config configures a Holder.
type Config struct {
	// Self is this instance. Duties are those of its failure domain.
	Self messenger.Sender
	// SelfPeer is where this instance listens.
	SelfPeer messenger.Peer
	// Store is the platform's key-value service.
	Store *storer.Store
	// Members returns all other instances that are known.
	Members func() []tracker.Member
	// Listed is the number of instances of the failure domain by the platform's
	// list, which is known before they are heard; nil means not known.
	Listed func() int
	// Call sends a message.
	Call messenger.Caller
	// Guard recognises freezes. It must run, and is shared with the tracker.
	Guard *tracker.Guard
	// Duties are the names of the failure domain's duties.
	Duties []string
	// Lease is the time to live of a duty's lease; zero means 6 s.
	Lease time.Duration
	// Margin is how long before its lease lapses a holder stops; zero means 1 s.
	Margin time.Duration
	// Extension is the time for which witnesses vouch while the store is out;
	// zero means 15 s. It should be above Death, else a witness that dies
	// during an outage ends the term.
	Extension time.Duration
	// Death is the silence after which a holder does without a witness; zero
	// means 12 s, and it is never below two leases.
	Death time.Duration
	// Brief tells whether all acts of a duty take effect within the margin of
	// their check, whatever becomes of the instance. Of such a duty an instance
	// that starts anew takes the lock of its former start over, instead of
	// waiting until the lease lapses; nil means of none.
	Brief func(duty string) bool
	// Witnesses is the number of members that a holder keeps informed; zero means 3.
	Witnesses int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log takes one line for each event; nil means the standard logger.
	Log logrus.FieldLogger

	// without removes protections, to show that tests find their absence.
	without protections
}

// protections are what tests can remove.
type protections struct {
	// margin stops a holder before its lease lapses.
	margin bool
	// guard stops a holder that was frozen.
	guard bool
	// promise lets a claimant wait for what witnesses vouched for.
	promise bool
	// all makes an extension need every witness.
	all bool
	// restart keeps a restarted witness from vouching for its former start.
	restart bool
	// former makes a claimant ask about former holders at all.
	former bool
	// flight lets a new start wait for the last acts of its former start.
	flight bool
}

func (c Config) complete() Config {
	c.Lease = cmp.Or(c.Lease, defaultLease)
	c.Margin = cmp.Or(c.Margin, defaultMargin)
	c.Extension = cmp.Or(c.Extension, defaultExtension)
	c.Death = cmp.Or(c.Death, defaultDeath)
	c.Death = max(c.Death, 2*c.Lease)
	if c.without.margin {
		c.Margin = 0
	}
	if c.Brief == nil {
		c.Brief = func(string) bool { return false }
	}
	c.Witnesses = cmp.Or(c.Witnesses, defaultWitnesses)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	return c
}

// silence is how long a former holder must have been silent to be out of
// office whatever was vouched for it.
func (c Config) silence() time.Duration { return c.Death + c.Extension + c.Margin }

// witnessing is how long after its own answer a witness can be sure that the
// holder does not yet do without it.
func (c Config) witnessing() time.Duration { return c.Death - c.Margin }

// renewal is the time between renewals of a lease: half of what a holder may
// use of it, so that the other half is left to witnesses when the store is out.
func (c Config) renewal() time.Duration { return (c.Lease - c.Margin) / 2 }

// recency is how long an answer of the store shows that it can be reached.
// Witnesses of a holder whose renewal failed vouch well before its term ends.
func (c Config) recency() time.Duration { return c.Lease / 4 }
