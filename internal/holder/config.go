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
	defaultLease          = 6 * time.Second
	defaultMargin         = time.Second
	defaultWitnessTimeout = 12 * time.Second
	defaultExtension      = 15 * time.Second
	defaultWitnesses      = 3

	// renewalsPerLease sets the retry interval, Lease/renewalsPerLease/2, and the time between
	// extensions, Extension/renewalsPerLease.
	renewalsPerLease = 3
	// ticksPerLease is the number of iterations of a duty's loop within one lease.
	ticksPerLease = 24
	callTimeout   = 500 * time.Millisecond
	storeTimeout  = time.Second
)

// Config configures a Holder.
type Config struct {
	// Self is this instance. The holder manages the duties of its failure domain.
	Self messenger.Sender
	// SelfPeer is the name and the address at which other instances reach this one.
	SelfPeer messenger.Peer
	// Store is the platform's key-value service.
	Store *storer.Store
	// Members returns all other known instances.
	Members func() []tracker.Member
	// Listed returns the number of instances of the failure domain in the platform's list, which is
	// available before any of them has been heard from; nil means unknown.
	Listed func() int
	// Call sends a message.
	Call messenger.Caller
	// FreezeDetector detects freezes of the process. It must be running; it is shared with the tracker.
	FreezeDetector *tracker.FreezeDetector
	// Founding is set if all instances start for the first time, so that a store without records has had no holders.
	Founding bool
	// Duties are the names of the failure domain's duties.
	Duties []string
	// Lease is the time to live of a duty's lease; zero means 6 s.
	Lease time.Duration
	// Margin is how long before the end of its lease a holder stops acting; zero means 1 s.
	Margin time.Duration
	// Extension is how long one confirmation by the witnesses extends a term while the store is
	// unreachable; zero means 15 s. It should exceed WitnessTimeout, otherwise the death of a witness during
	// an outage ends the term.
	Extension time.Duration
	// WitnessTimeout is how long a witness may be silent before the holder no longer needs its confirmation;
	// zero means 12 s. The effective value is at least two leases.
	WitnessTimeout time.Duration
	// ActsWithinMargin reports whether every act of a duty takes effect within Margin after its
	// check, even if the instance dies meanwhile. For such a duty a restarted instance takes over
	// the lock left by its own previous incarnation instead of waiting for the lease to lapse. nil
	// means that no duty has this property.
	ActsWithinMargin func(duty string) bool
	// Witnesses is the number of members that a holder keeps informed of its term; zero means 3.
	Witnesses int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log receives one line per event; nil means the standard logger.
	Log logrus.FieldLogger

	// disabled switches protections off. Only tests set it, to prove that they detect a missing
	// protection.
	disabled protections
}

// protections lists the protections against two holders at a time that tests can disable one by one.
type protections struct {
	// margin stops a holder before its lease ends.
	margin bool
	// freezeDetection stops a holder whose process was frozen.
	freezeDetection bool
	// extensionWait makes a claimant wait until the extensions granted by witnesses, and the terms
	// that its claim ended, have run out.
	extensionWait bool
	// unanimity makes an extension require the confirmation of every required witness instead of
	// any one.
	unanimity bool
	// witnessRestart ignores the confirmation of a witness that restarted and lost its state, as
	// long as its previous incarnation may still be relied on.
	witnessRestart bool
	// formerHolders makes a claimant wait until former holders can no longer act.
	formerHolders bool
	// inFlight makes a restarted instance wait until the last acts of its previous incarnation have
	// taken effect.
	inFlight bool
	// eraEpochs makes every epoch exceed those of former eras of the store.
	eraEpochs bool
	// restoredRecord makes a claimant wait for unknown holders when the record may be that of a copy of the store.
	restoredRecord bool
}

func (c Config) complete() Config {
	c.Lease = cmp.Or(c.Lease, defaultLease)
	c.Margin = cmp.Or(c.Margin, defaultMargin)
	c.Extension = cmp.Or(c.Extension, defaultExtension)
	c.WitnessTimeout = cmp.Or(c.WitnessTimeout, defaultWitnessTimeout)
	c.WitnessTimeout = max(c.WitnessTimeout, 2*c.Lease)
	if c.disabled.margin {
		c.Margin = 0
	}
	if c.ActsWithinMargin == nil {
		c.ActsWithinMargin = func(string) bool { return false }
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

// formerHolderTimeout is how long a former holder must have been silent until its term is certainly
// over, whatever extension witnesses granted it.
func (c Config) formerHolderTimeout() time.Duration { return c.WitnessTimeout + c.Extension + c.Margin }

// attestationWindow is how long after its own answer a witness can be sure that the holder still
// requires its confirmation.
func (c Config) attestationWindow() time.Duration { return c.WitnessTimeout - c.Margin }

// renewalInterval is the time between two renewals of a lease. It is half of the usable lease, so
// that the other half is left to obtain the witnesses' confirmation if the store is unreachable.
func (c Config) renewalInterval() time.Duration { return (c.Lease - c.Margin) / 2 }

// storeRecency is how long after its last answer the store counts as reachable. It is short, so
// that the witnesses of a holder whose renewal failed confirm its term well before it ends.
func (c Config) storeRecency() time.Duration { return c.Lease / 4 }
