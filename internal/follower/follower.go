// Package follower keeps an instance up to date with the store's entries under one key prefix.
package follower

import (
	"context"
	"errors"
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	// firstBackoff is the pause after the first failure of the store.
	firstBackoff = 100 * time.Millisecond
	// longestBackoff bounds the pause after further failures, so that the recovery of the store is
	// noticed within a second.
	longestBackoff = 800 * time.Millisecond
)

// Update is one update of the followed entries.
type Update struct {
	// Complete is set if Entries is the complete state, and not only what changed.
	Complete bool
	// Entries are the entries that were written.
	Entries []storer.Entry
	// Renewed are the rewritten entries whose compared part is the same as before.
	Renewed []Renewal
	// Deleted are the keys of deleted entries.
	Deleted []string
	// Revision is the store's revision up to which the update is complete.
	Revision storer.Revision
	// Regained is set if the store answered again after failures.
	Regained bool
}

// Config configures a Follower.
type Config struct {
	// Store is the platform's key-value service.
	Store *storer.Store
	// Prefix is the prefix of the followed keys.
	Prefix string
	// Pause returns the minimum time between two watches, so that one watch returns many changes of
	// entries that change many times a second; nil means no minimum.
	Pause func() time.Duration
	// FetchRelayed requests the changes after a revision, or the complete state, from other instances.
	// It returns false if the store has to be read instead; nil means always.
	FetchRelayed func(ctx context.Context, after storer.Revision, complete bool) (Relayed, bool)
	// Observe is called with each update and the time at which the store returned it, even if the
	// update has no changes; may be nil.
	Observe func(update Update, asOf time.Time)
	// Relevant reports whether an entry is relevant, by its key; nil means that all are.
	Relevant func(key string) bool
	// Compared returns the part of an entry whose change counts; nil means its value.
	Compared func(entry storer.Entry) []byte
	// Apply is called with each update that has changes, is complete or follows an outage, in
	// order.
	Apply func(Update)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log receives one line for each loss and recovery of the store.
	Log logrus.FieldLogger
}

// Follower follows the entries under one prefix, through other instances or the store. after is the
// revision up to which it has read, and read is set once it has read the complete state.
type Follower struct {
	config Config
	after  storer.Revision
	read   bool
	// known holds a hash of each entry's compared part, so that an entry that was rewritten
	// unchanged is not decoded again.
	known map[string]uint64
	// failures counts the failures since the store last answered.
	failures int
}

// New returns a Follower that has read nothing yet.
func New(config Config) *Follower {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Pause == nil {
		config.Pause = func() time.Duration { return 0 }
	}
	if config.FetchRelayed == nil {
		config.FetchRelayed = func(context.Context, storer.Revision, bool) (Relayed, bool) { return Relayed{}, false }
	}
	if config.Observe == nil {
		config.Observe = func(Update, time.Time) {}
	}
	if config.Relevant == nil {
		config.Relevant = func(string) bool { return true }
	}
	if config.Compared == nil {
		config.Compared = func(entry storer.Entry) []byte { return entry.Value }
	}
	return &Follower{
		config: config,
		known:  map[string]uint64{},
	}
}

// Run follows the prefix until the context ends. It returns nil.
func (f *Follower) Run(ctx context.Context) error {
	f.loop(ctx)
	return nil
}

// loop fetches updates, at least a pause apart unless one failed.
func (f *Follower) loop(ctx context.Context) {
	for ctx.Err() == nil {
		start := f.config.Now()
		if err := f.step(ctx); err != nil {
			f.backOff(ctx, err)
			continue
		}
		if remaining := f.config.Pause() - f.config.Now().Sub(start); remaining > 0 {
			waiter.Pause(ctx, remaining)
		}
	}
}

// step fetches one update: from another instance, or by reading the complete state from the store,
// or by waiting there for changes.
func (f *Follower) step(ctx context.Context) error {
	if relayed, ok := f.config.FetchRelayed(ctx, f.after, !f.read); ok {
		f.applyRelayed(relayed)
		return nil
	}
	requested := f.config.Now()
	if !f.read {
		changes, err := f.config.Store.Scan(ctx, f.config.Prefix)
		if err != nil {
			return err
		}
		f.read = true
		f.applyAnswer(requested, changes, true)
		return nil
	}
	changes, err := f.config.Store.Watch(ctx, f.config.Prefix, f.after)
	if err != nil {
		return err
	}
	f.applyAnswer(f.config.Now(), changes, false)
	return nil
}

// applyRelayed applies an update from another instance. One that is older than this instance's
// state counts as an update without changes.
func (f *Follower) applyRelayed(relayed Relayed) {
	update := relayed.Update
	if update.Revision < f.after {
		update = Update{
			Revision: f.after,
		}
	}
	f.read = f.read || update.Complete
	update.Regained = f.recovered() || update.Regained
	f.deliver(relayed.AsOf, update)
}

// applyAnswer applies an answer of the store.
func (f *Follower) applyAnswer(asOf time.Time, changes storer.Changes, complete bool) {
	f.deliver(asOf, Update{
		Complete: complete,
		Entries:  changes.Entries,
		Deleted:  changes.Deleted,
		Revision: changes.Revision,
		Regained: f.recovered(),
	})
}

// recovered records that the store answered, and reports whether it had failed before.
func (f *Follower) recovered() bool {
	failures := f.failures
	f.failures = 0
	if failures == 0 {
		return false
	}
	f.config.Log.WithFields(logrus.Fields{
		"prefix":   f.config.Prefix,
		"revision": f.after,
		"failures": failures,
	}).Info("store.regained")
	return true
}

// deliver passes an update on, without irrelevant entries.
func (f *Follower) deliver(asOf time.Time, update Update) {
	f.after = max(f.after, update.Revision)
	f.filter(&update)
	f.config.Observe(update, asOf)
	if update.Complete || update.Regained || len(update.Entries)+len(update.Renewed)+len(update.Deleted) > 0 {
		f.config.Apply(update)
	}
}

// filter drops irrelevant entries, and moves those that were rewritten unchanged from Entries to
// Renewed.
func (f *Follower) filter(update *Update) {
	if update.Complete {
		clear(f.known)
	}
	ignored := func(key string) bool { return !f.config.Relevant(key) }
	update.Deleted = slices.DeleteFunc(update.Deleted, ignored)
	for _, key := range update.Deleted {
		delete(f.known, key)
	}
	changed := make([]storer.Entry, 0, len(update.Entries))
	for _, entry := range update.Entries {
		if ignored(entry.Key) {
			continue
		}
		hash := maphash.Bytes(seed, f.config.Compared(entry))
		if former, known := f.known[entry.Key]; known && former == hash {
			update.Renewed = append(update.Renewed, Renewal{
				Key:      entry.Key,
				Revision: entry.Revision,
			})
			continue
		}
		f.known[entry.Key] = hash
		changed = append(changed, entry)
	}
	update.Entries = changed
}

// seed is the seed of the hashes of entries. It may differ between processes, since the hashes stay
// in this one.
var seed = maphash.MakeSeed()

// backOff handles a failure and waits before the next try. A compacted history does not count as a
// failure of the store: the complete state is read again at once.
func (f *Follower) backOff(ctx context.Context, err error) {
	var compacted *storer.Compacted
	if errors.As(err, &compacted) {
		f.config.Log.WithFields(logrus.Fields{
			"prefix": f.config.Prefix,
			"after":  compacted.After,
		}).Info("store.compacted")
		f.read = false
		return
	}
	if ctx.Err() != nil {
		return
	}
	f.failures++
	metrics.GetOrCreateCounter(`buckthorngap_follow_failures_total`).Inc()
	if f.failures == 1 {
		f.config.Log.WithFields(logrus.Fields{
			"prefix":   f.config.Prefix,
			"revision": f.after,
			"error":    err,
		}).Warn("store.lost")
	}
	backoff := min(firstBackoff<<min(f.failures-1, 4), longestBackoff)
	waiter.Pause(ctx, backoff/2+rand.N(backoff/2))
}
