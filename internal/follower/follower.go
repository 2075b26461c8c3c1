// Package follower keeps up with the entries of the store under one prefix.
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
	// longestBackoff bounds the pause after further failures, so that a store
	// that returns is noticed within a second.
	longestBackoff = 800 * time.Millisecond
)

// Update is what a follower learned.
type Update struct {
	// Whole is set if Entries are all that there is, and not only what changed.
	Whole bool
	// Entries were written.
	Entries []storer.Entry
	// Renewed are entries that were written again and say the same as before.
	Renewed []Renewal
	// Deleted are the keys of entries that are gone.
	Deleted []string
	// Revision is the store's revision up to which this is complete.
	Revision storer.Revision
	// Regained is set if the store had not answered before.
	Regained bool
}

// Config is what a Follower needs.
type Config struct {
	// Store is the platform's key-value service.
	Store *storer.Store
	// Prefix is what the keys begin with.
	Prefix string
	// Pause returns the least time between two watches; nil means none. Where
	// entries change many times a second, one watch then brings many changes.
	Pause func() time.Duration
	// Relayed asks other instances for what changed after a revision, or for
	// everything. It returns false if the store is to be asked; nil means always.
	Relayed func(ctx context.Context, after storer.Revision, whole bool) (Relayed, bool)
	// Taken takes each update and when the store gave it, also one that brings
	// nothing new; may be nil.
	Taken func(update Update, heard time.Time)
	// Keep tells whether an entry matters, by its key; nil means that all do.
	Keep func(key string) bool
	// Essence returns what of an entry's value matters; nil means all of it.
	Essence func(entry storer.Entry) []byte
	// Apply takes each update, in order.
	Apply func(Update)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log gets one line for each loss and return of the store.
	Log logrus.FieldLogger
}

// Follower keeps up with a prefix.
type Follower struct {
	config Config
	after  storer.Revision
	read   bool
	// known are hashes of the essence of each entry, so that an entry which says
	// the same again is not decoded again.
	known map[string]uint64
	// fails counts the failures since the store answered last.
	fails int
}

// New returns a Follower that has read nothing yet.
func New(config Config) *Follower {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Pause == nil {
		config.Pause = func() time.Duration { return 0 }
	}
	if config.Relayed == nil {
		config.Relayed = func(context.Context, storer.Revision, bool) (Relayed, bool) { return Relayed{}, false }
	}
	if config.Taken == nil {
		config.Taken = func(Update, time.Time) {}
	}
	if config.Keep == nil {
		config.Keep = func(string) bool { return true }
	}
	if config.Essence == nil {
		config.Essence = func(entry storer.Entry) []byte { return entry.Value }
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

func (f *Follower) loop(ctx context.Context) {
	for ctx.Err() == nil {
		began := f.config.Now()
		if err := f.step(ctx); err != nil {
			f.failed(ctx, err)
			continue
		}
		if rest := f.config.Pause() - f.config.Now().Sub(began); rest > 0 {
			waiter.Pause(ctx, rest)
		}
	}
}

// step takes what another instance tells, or else reads everything from the
// store, or waits there for changes.
func (f *Follower) step(ctx context.Context) error {
	if relayed, ok := f.config.Relayed(ctx, f.after, !f.read); ok {
		f.relayed(relayed)
		return nil
	}
	asked := f.config.Now()
	if !f.read {
		found, err := f.config.Store.Scan(ctx, f.config.Prefix)
		if err != nil {
			return err
		}
		f.read = true
		f.answered(asked, found, true)
		return nil
	}
	found, err := f.config.Store.Watch(ctx, f.config.Prefix, f.after)
	if err != nil {
		return err
	}
	f.answered(f.config.Now(), found, false)
	return nil
}

// relayed takes what another instance told. One that knows less than this
// instance tells nothing.
func (f *Follower) relayed(relayed Relayed) {
	update := relayed.Update
	if update.Revision < f.after {
		update = Update{
			Revision: f.after,
		}
	}
	f.read = f.read || update.Whole
	update.Regained = f.regained() || update.Regained
	f.deliver(relayed.Heard, update)
}

func (f *Follower) answered(heard time.Time, found storer.Changes, whole bool) {
	f.deliver(heard, Update{
		Whole:    whole,
		Entries:  found.Entries,
		Deleted:  found.Deleted,
		Revision: found.Revision,
		Regained: f.regained(),
	})
}

// regained notes that the store answered, and tells whether it had not before.
func (f *Follower) regained() bool {
	failures := f.fails
	f.fails = 0
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

// deliver passes an update on, without what does not matter.
func (f *Follower) deliver(heard time.Time, update Update) {
	f.after = max(f.after, update.Revision)
	f.sift(&update)
	f.config.Taken(update, heard)
	if update.Whole || update.Regained || len(update.Entries)+len(update.Renewed)+len(update.Deleted) > 0 {
		f.config.Apply(update)
	}
}

// sift drops entries that do not matter, and tells those that say the same as
// before from those that changed.
func (f *Follower) sift(update *Update) {
	if update.Whole {
		clear(f.known)
	}
	ignored := func(key string) bool { return !f.config.Keep(key) }
	update.Deleted = slices.DeleteFunc(update.Deleted, ignored)
	for _, key := range update.Deleted {
		delete(f.known, key)
	}
	changed := make([]storer.Entry, 0, len(update.Entries))
	for _, entry := range update.Entries {
		if ignored(entry.Key) {
			continue
		}
		essence := maphash.Bytes(seed, f.config.Essence(entry))
		if former, known := f.known[entry.Key]; known && former == essence {
			update.Renewed = append(update.Renewed, Renewal{
				Key:      entry.Key,
				Revision: entry.Revision,
			})
			continue
		}
		f.known[entry.Key] = essence
		changed = append(changed, entry)
	}
	update.Entries = changed
}

// seed is that of the hashes of entries, which stay in this process.
var seed = maphash.MakeSeed()

// failed waits after a failure. History that is gone is no failure of the
// store: the prefix is read anew at once.
func (f *Follower) failed(ctx context.Context, err error) {
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
	f.fails++
	metrics.GetOrCreateCounter(`buckthorngap_follow_failures_total`).Inc()
	if f.fails == 1 {
		f.config.Log.WithFields(logrus.Fields{
			"prefix":   f.config.Prefix,
			"revision": f.after,
			"error":    err,
		}).Warn("store.lost")
	}
	backoff := min(firstBackoff<<min(f.fails-1, 4), longestBackoff)
	waiter.Pause(ctx, backoff/2+rand.N(backoff/2))
}
