package spreader

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	// idlePause is the time between checks whether this instance has become a watcher.
	idlePause = time.Second
	// firstBackoff is the pause after the first failure of the store.
	firstBackoff = 100 * time.Millisecond
	// longestBackoff is the longest pause after failures of the store.
	longestBackoff = 3 * time.Second
)

// watcher follows the store's head and withdrawals while this instance is one of its domain's
// watchers.
type watcher struct {
	spreader *Spreader
	// revision is the store revision up to which changes were processed.
	revision storer.Revision
	// synced is set once the store was read in full and revision is valid.
	synced bool
	// nextFullRead is when the store is read in full again.
	nextFullRead time.Time
	// backoff is the current pause after failures of the store.
	backoff time.Duration
}

// run watches until the context ends, backing off while the store fails.
func (w *watcher) run(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	for ctx.Err() == nil {
		if !w.spreader.watching() {
			w.synced = false
			waiter.Pause(ctx, idlePause)
			continue
		}
		err := w.step(ctx)
		w.spreader.recordStoreResult(err)
		if err != nil && ctx.Err() == nil {
			metrics.GetOrCreateCounter(`buckthorngap_config_watch_failures_total`).Inc()
			w.synced = false
			w.backoff = min(max(2*w.backoff, firstBackoff), longestBackoff)
			waiter.Pause(ctx, w.backoff/2+rand.N(w.backoff))
			continue
		}
		w.backoff = 0
	}
}

// step waits for changes in the store and applies them, or reads the store in full if that is
// due.
func (w *watcher) step(ctx context.Context) error {
	s := w.spreader
	if !w.synced || !s.config.Now().Before(w.nextFullRead) {
		return w.readAll(ctx)
	}
	limited, cancel := context.WithDeadline(ctx, w.nextFullRead)
	defer cancel()
	changes, err := s.config.Store.Watch(limited, statePrefix, w.revision)
	if err != nil && ctx.Err() == nil && limited.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	if changes.Revision < w.revision {
		return &storeRolledBack{}
	}
	w.revision = changes.Revision
	for _, entry := range changes.Entries {
		if entry.Key == headKey {
			err = s.followHead(ctx, entry)
		} else {
			err = s.mergeStored(entry)
		}
		if err != nil {
			return err
		}
	}
	return s.persist(ctx)
}

// readAll reads the store's head and withdrawals in full, and applies what differs from the
// configuration in force.
func (w *watcher) readAll(ctx context.Context) error {
	s := w.spreader
	entries, err := s.config.Store.List(ctx, statePrefix)
	if err != nil {
		return err
	}
	s.resetPersisted(entries)
	if err := s.followHead(ctx, headEntry(entries)); err != nil {
		return err
	}
	if err := s.persist(ctx); err != nil {
		return err
	}
	w.revision = 0
	for _, entry := range entries {
		w.revision = max(w.revision, entry.Revision)
	}
	w.synced = true
	w.nextFullRead = s.config.Now().Add(s.config.ReconcileInterval)
	return nil
}

// followHead installs a head of the store if it is newer than the configuration in force, and
// repairs the store if it is older.
func (s *Spreader) followHead(ctx context.Context, entry storer.Entry) error {
	stored := storedHead{}
	if entry.Revision != 0 {
		var err error
		if stored, err = decodeHead(entry); err != nil {
			return err
		}
	}
	current := s.Current()
	same := stored.head.Revision == current.Revision() && len(current.Differing(stored.head)) == 0
	if same {
		return nil
	}
	if stored.head.Revision <= current.Revision() && s.guards.repair {
		return s.repair(ctx)
	}
	next, err := s.fetchSnapshot(ctx, stored.head)
	if err != nil {
		return err
	}
	s.install(next, "watch")
	return nil
}

// watching reports whether this instance is one of its domain's watchers, by rendezvous
// hashing among the live members.
func (s *Spreader) watching() bool {
	own := rendezvousWeight(s.config.Self.Name)
	var heavier []string
	for _, member := range s.others() {
		alive := member.State == tracker.Alive && member.Domain == s.config.Self.Domain
		if alive && rendezvousWeight(member.Peer.Name) > own && !slices.Contains(heavier, member.Peer.Name) {
			heavier = append(heavier, member.Peer.Name)
		}
	}
	return len(heavier) < watchersPerDomain
}

// rendezvousWeight returns the weight of an instance in rendezvous hashing.
func rendezvousWeight(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}

// recordStoreResult records the result of the last access to the store.
func (s *Spreader) recordStoreResult(err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.storeError = ""
	if err != nil {
		s.storeError = err.Error()
	}
}
