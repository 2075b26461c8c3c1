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
	// Reconcile is the interval between full reads of the store's head and withdrawals by a
	// watcher; zero means DefaultReconcile.
	Reconcile time.Duration
	// Fanout is the number of instances that a push is sent to directly; zero means
	// DefaultFanout.
	Fanout int
	// LeafTimeout is how long one instance may take to answer a push that it does not relay;
	// zero means DefaultLeafTimeout.
	LeafTimeout time.Duration
}

// The defaults of Config.
const (
	// DefaultReconcile is the interval between full reads of the store.
	DefaultReconcile = time.Minute
	// DefaultFanout is the number of instances that a push is sent to directly.
	DefaultFanout = 8
	// DefaultLeafTimeout is how long one instance may take to answer a push.
	DefaultLeafTimeout = 500 * time.Millisecond
)

const (
	// actTimeout bounds the access to the store during an act.
	actTimeout = 8 * time.Second
	// spreadTimeout bounds the push to all instances.
	spreadTimeout = 1800 * time.Millisecond
	// persistWait is how long the receipt of a withdrawal waits for the store.
	persistWait = 700 * time.Millisecond
	// pullTimeout bounds reading the configuration of one peer.
	pullTimeout = 10 * time.Second
	// actAttempts is how often an act or a write of withdrawals is attempted while others are
	// committed first.
	actAttempts = 12
	// watchersPerDomain is how many instances of a domain watch the store.
	watchersPerDomain = 2
	// keptSnapshots is how many former snapshots are kept for peers and comparisons.
	keptSnapshots = 64
	// queueLength bounds the queued pulls and replays.
	queueLength = 64
	// garbageAge is for how many revisions a replaced document stays in the store.
	garbageAge = 16
	// pageBytes is the length after which no further document is added to an answer, in bytes.
	pageBytes = 1 << 20
	// summaryBytes is how much of a digest is sent with heartbeats and pushes, in bytes.
	summaryBytes = 16
	// maxPeerRevisions bounds the number of peers whose revision is recorded.
	maxPeerRevisions = 1024
	// joinPeers is how many peers a starting instance queries.
	joinPeers = 64
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
	c.Reconcile = cmp.Or(max(c.Reconcile, 0), DefaultReconcile)
	c.Fanout = cmp.Or(max(c.Fanout, 0), DefaultFanout)
	c.LeafTimeout = cmp.Or(max(c.LeafTimeout, 0), DefaultLeafTimeout)
	return c
}
