package spreader

import (
	"cmp"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Config configures a Spreader.
type Config struct {
	// Store is the platform's store.
	Store *storer.Store
	// Self is this instance.
	Self messenger.Sender
	// Members returns the other instances; nil means that there are none.
	Members func() []tracker.Member
	// Call sends a message to another instance; nil means that none can be reached.
	Call messenger.Caller
	// Log receives events; nil means the standard logger.
	Log *logrus.Entry
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// ReconcileInterval is the interval between full reads of the store's head and withdrawals by a
	// watcher; zero means DefaultReconcileInterval.
	ReconcileInterval time.Duration
	// Fanout is the number of instances that a push is sent to directly; zero means
	// DefaultFanout.
	Fanout int
	// LeafTimeout is how long one instance may take to answer a push that it does not relay;
	// zero means DefaultLeafTimeout.
	LeafTimeout time.Duration
}

// The defaults of Config.
const (
	// DefaultReconcileInterval is the interval between full reads of the store.
	DefaultReconcileInterval = time.Minute
	// DefaultFanout is the number of instances that a push is sent to directly.
	DefaultFanout = 8
	// DefaultLeafTimeout is how long one instance may take to answer a push.
	DefaultLeafTimeout = 500 * time.Millisecond
)

const (
	// actTimeout bounds the access to the store during an act.
	actTimeout = 8 * time.Second
	// pushTimeout bounds the push to all instances, and the writes of a withdrawal to the store.
	pushTimeout = 1800 * time.Millisecond
	// persistWait is how long the receipt of a withdrawal waits for the store.
	persistWait = 700 * time.Millisecond
	// pullTimeout bounds reading the configuration from peers or from the store, and a repair.
	pullTimeout = 10 * time.Second
	// maxActAttempts bounds the attempts to commit an act or to write withdrawals while other
	// instances write first.
	maxActAttempts = 12
	// watchersPerDomain is how many instances of a domain watch the store.
	watchersPerDomain = 2
	// maxFormerSnapshots bounds the former snapshots that are kept for peers and for comparisons
	// by operators.
	maxFormerSnapshots = 64
	// queueLength bounds the queued pulls and replays.
	queueLength = 64
	// garbageAge is the number of revisions after which a replaced document is deleted from the
	// store.
	garbageAge = 16
	// pageBytes is the length after which no further document is added to an answer, in bytes.
	pageBytes = 1 << 20
	// summaryDigestBytes is the length to which digests are truncated in heartbeats and pushes.
	summaryDigestBytes = 16
	// maxPeerRevisions bounds the number of peers whose revision is recorded.
	maxPeerRevisions = 1024
	// maxJoinPeers bounds the peers that a starting instance queries.
	maxJoinPeers = 64
)

// The keys of the store's entries.
const (
	statePrefix      = "config/state/"
	headKey          = statePrefix + "head"
	withdrawalPrefix = statePrefix + "withdrawals/"
	documentPrefix   = "config/documents/"
)

// The topics of messages between instances.
const (
	topicPush        = "config.push"
	topicHead        = "config.head"
	topicDocuments   = "config.documents"
	topicWithdrawals = "config.withdrawals"
)

func (c Config) withDefaults() Config {
	if c.Members == nil {
		c.Members = func() []tracker.Member { return nil }
	}
	if c.Call == nil {
		c.Call = unreachable
	}
	if c.Log == nil {
		c.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	c.ReconcileInterval = cmp.Or(max(c.ReconcileInterval, 0), DefaultReconcileInterval)
	c.Fanout = cmp.Or(max(c.Fanout, 0), DefaultFanout)
	c.LeafTimeout = cmp.Or(max(c.LeafTimeout, 0), DefaultLeafTimeout)
	return c
}
