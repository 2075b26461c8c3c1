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
	// after is the store revision up to which changes were seen.
	after storer.Revision
	// synced is set once everything was read and after is valid.
	synced bool
	// nextFull is when everything is read again.
	nextFull time.Time
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

// step waits for one change, or reads everything if that is due.
func (w *watcher) step(ctx context.Context) error {
	s := w.spreader
	if !w.synced || !s.config.Now().Before(w.nextFull) {
		return w.readAll(ctx)
	}
	limited, cancel := context.WithDeadline(ctx, w.nextFull)
	defer cancel()
	changes, err := s.config.Store.Watch(limited, statePrefix, w.after)
	if err != nil && ctx.Err() == nil && limited.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	if changes.Revision < w.after {
		return &storeRolledBack{}
	}
	w.after = changes.Revision
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

// readAll compares everything in the store with the configuration in force.
func (w *watcher) readAll(ctx context.Context) error {
	s := w.spreader
	entries, err := s.config.Store.List(ctx, statePrefix)
	if err != nil {
		return err
	}
	s.resetDurable(entries)
	if err := s.followHead(ctx, headOf(entries)); err != nil {
		return err
	}
	if err := s.persist(ctx); err != nil {
		return err
	}
	w.after = 0
	for _, entry := range entries {
		w.after = max(w.after, entry.Revision)
	}
	w.synced = true
	w.nextFull = s.config.Now().Add(s.config.Reconcile)
	return nil
}

// headOf returns the entry of the head; the zero entry if there is none.
func headOf(entries []storer.Entry) storer.Entry {
	for _, entry := range entries {
		if entry.Key == headKey {
			return entry
		}
	}
	return storer.Entry{}
}

// followHead installs a head of the store if it is newer than the configuration in force, and
// repairs the store if it is older.
func (s *Spreader) followHead(ctx context.Context, entry storer.Entry) error {
	stored := storedHead{}
	if entry.Revision != 0 {
		var err error
		if stored, err = decodeStored(entry); err != nil {
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
	next, err := s.fetch(ctx, stored.head)
	if err != nil {
		return err
	}
	s.install(next, "watch")
	return nil
}

// watching reports whether this instance is one of its domain's watchers, by rendezvous
// hashing among the live members.
func (s *Spreader) watching() bool {
	own := weight(s.config.Self.Name)
	var heavier []string
	for _, member := range s.others() {
		alive := member.State == tracker.Alive && member.Domain == s.config.Self.Domain
		if alive && weight(member.Peer.Name) > own && !slices.Contains(heavier, member.Peer.Name) {
			heavier = append(heavier, member.Peer.Name)
		}
	}
	return len(heavier) < watchersPerDomain
}

// weight returns the rendezvous hash of an instance.
func weight(name string) uint64 {
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
