package spreader

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/spreader/spreaderpb"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// Spreader holds the configuration of this instance and keeps it in agreement with the store
// and with the other instances.
type Spreader struct {
	config Config
	guards guards
	// actLock is a channel of capacity one that serves as a lock: an instance commits one act or repair at a time.
	actLock chan struct{}
	// pulls, replays and repairs queue work for the goroutines of Run.
	pulls   chan pull
	replays chan configurator.Change
	repairs chan struct{}
	current atomic.Pointer[configurator.Snapshot]
	summary atomic.Pointer[spreaderpb.Summary]
	ready   atomic.Bool

	// mutex guards the fields below and serializes installations of snapshots.
	mutex sync.Mutex
	// former are the snapshots that were in force before, the oldest first.
	former      []*configurator.Snapshot
	subscribers []func(*configurator.Snapshot)
	// persisted are the withdrawals that the store is known to have.
	persisted *configurator.Withdrawals
	// storeError is the store's last error; empty if its last call succeeded.
	storeError string
	// peerRevisions are the revisions that peers last reported, by name.
	peerRevisions map[string]uint64
}

// guards are the safeguards that a test can disable to check that the fault they prevent then
// occurs.
type guards struct {
	// newer reports whether a snapshot may replace the current one.
	newer func(next, current *configurator.Snapshot) bool
	// readBack reads the head after a swap that got no answer; without it the outcome stays
	// unknown.
	readBack bool
	// repair writes the current configuration to a store that was rolled back.
	repair bool
	// mergeActs keeps acts in force that a newer head does not contain.
	mergeActs bool
	// queryPeers lets a starting instance query its peers.
	queryPeers bool
}

// New returns a Spreader with the empty configuration. It becomes ready once Run has obtained
// the current one.
func New(config Config) *Spreader {
	s := &Spreader{
		config:        config.withDefaults(),
		actLock:       make(chan struct{}, 1),
		pulls:         make(chan pull, queueLength),
		replays:       make(chan configurator.Change, queueLength),
		repairs:       make(chan struct{}, 1),
		persisted:     configurator.NewWithdrawals(),
		peerRevisions: map[string]uint64{},
		guards: guards{
			newer:      newer,
			readBack:   true,
			repair:     true,
			mergeActs:  true,
			queryPeers: true,
		},
	}
	s.setCurrent(configurator.Empty())
	return s
}

// Current returns the configuration in force on this instance, withdrawals included.
func (s *Spreader) Current() *configurator.Snapshot { return s.current.Load() }

// Ready reports whether the instance has the highest revision that it could find among the
// store and its peers.
func (s *Spreader) Ready() bool { return s.ready.Load() }

// Subscribe calls the function with the current snapshot and with each later one, in order.
// The function must return soon and must not call Act or Withdraw.
func (s *Spreader) Subscribe(subscriber func(*configurator.Snapshot)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.subscribers = append(s.subscribers, subscriber)
	subscriber(s.Current())
}

// Revision returns the snapshot of a revision that is or was in force on this instance, if it
// is still kept.
func (s *Spreader) Revision(revision uint64) (*configurator.Snapshot, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if current := s.Current(); current.Revision() == revision {
		return current, true
	}
	for _, snapshot := range s.former {
		if snapshot.Revision() == revision {
			return snapshot, true
		}
	}
	return nil, false
}

// Run obtains the configuration and keeps it up to date until the context ends. It returns
// nil.
func (s *Spreader) Run(ctx context.Context) error {
	s.join(ctx)
	w := &watcher{
		spreader: s,
	}
	p := &puller{
		spreader: s,
	}
	r := &repairer{
		spreader: s,
	}
	var group sync.WaitGroup
	group.Add(3)
	go p.run(ctx, &group)
	go r.run(ctx, &group)
	go w.run(ctx, &group)
	group.Wait()
	return nil
}

// newer orders snapshots by revision. Two different snapshots of one revision exist only after
// the store was rolled back; they are ordered by digest, which is arbitrary but the same on
// all instances.
func newer(next, current *configurator.Snapshot) bool {
	if next.Revision() != current.Revision() {
		return next.Revision() > current.Revision()
	}
	a, b := next.Digest(), current.Digest()
	return bytes.Compare(a[:], b[:]) > 0
}

// install puts a snapshot in force if it is newer and contains all acts that are in force. If
// it lacks some, a repair is requested, which merges both. The withdrawals of a snapshot that is
// not newer are added to those in force. The source is logged. It reports whether the snapshot's
// configuration is in force.
func (s *Spreader) install(next *configurator.Snapshot, source string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.Current()
	if !s.guards.newer(next, current) {
		if merged := current.WithWithdrawals(next.Withdrawals()); merged != current {
			s.setCurrent(merged)
		}
		return next.Digest() == current.Digest()
	}
	if s.guards.mergeActs && len(missingActs(current.Acts(), next)) > 0 {
		s.requestRepair()
		return false
	}
	s.addFormer(current)
	s.setCurrent(next.WithWithdrawals(current.Withdrawals()))
	metrics.GetOrCreateCounter(`buckthorngap_config_installs_total`).Inc()
	s.config.Log.WithFields(logrus.Fields{
		"revision": next.Revision(),
		"from":     source,
	}).Info("configuration")
	return true
}

// addWithdrawals adds withdrawals to the configuration in force.
func (s *Spreader) addWithdrawals(withdrawals *configurator.Withdrawals) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.Current()
	if merged := current.WithWithdrawals(withdrawals); merged != current {
		s.setCurrent(merged)
	}
}

// setCurrent replaces the current snapshot and notifies the subscribers. The caller holds the
// mutex.
func (s *Spreader) setCurrent(next *configurator.Snapshot) {
	digest, withdrawals := next.Digest(), next.Withdrawals().Digest()
	s.current.Store(next)
	s.summary.Store(&spreaderpb.Summary{
		Revision:    next.Revision(),
		Digest:      digest[:summaryDigestBytes],
		Withdrawals: withdrawals[:summaryDigestBytes],
	})
	metrics.GetOrCreateGauge(`buckthorngap_config_revision`, nil).Set(float64(next.Revision()))
	for _, subscriber := range s.subscribers {
		subscriber(next)
	}
}

// addFormer keeps a snapshot that was replaced, and drops the oldest one above
// maxFormerSnapshots. The caller holds the mutex.
func (s *Spreader) addFormer(snapshot *configurator.Snapshot) {
	if len(s.former) >= maxFormerSnapshots {
		s.former = append(s.former[:0:0], s.former[1:]...)
	}
	s.former = append(s.former, snapshot)
}

// currentSummary returns the revision and digests of the configuration in force, and whether
// the instance is ready.
func (s *Spreader) currentSummary() *spreaderpb.Summary {
	summary := s.summary.Load()
	return &spreaderpb.Summary{
		Revision:    summary.GetRevision(),
		Digest:      summary.GetDigest(),
		Withdrawals: summary.GetWithdrawals(),
		Ready:       s.Ready(),
	}
}

// unreachable is the default of Config.Call, with which no instance can be reached.
func unreachable(context.Context, messenger.Peer, string, []byte) ([]byte, error) {
	return nil, &badMessage{
		reason: "no way to other instances",
	}
}
