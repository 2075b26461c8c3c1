// Package follower keeps up with the entries of the store under one prefix.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
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
	// Pause is the least time between two watches. Where entries change many
	// times a second, one watch then brings many changes.
	Pause time.Duration
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
	// fails counts the failures since the store answered last.
	fails int
}

// New returns a Follower that has read nothing yet.
func New(config Config) *Follower {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Follower{
		config: config,
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
		if rest := f.config.Pause - f.config.Now().Sub(began); rest > 0 {
			waiter.Pause(ctx, rest)
		}
	}
}

// step reads everything, or waits for changes.
func (f *Follower) step(ctx context.Context) error {
	if !f.read {
		found, err := f.config.Store.Scan(ctx, f.config.Prefix)
		if err != nil {
			return err
		}
		f.read = true
		f.answered(found, true)
		return nil
	}
	found, err := f.config.Store.Watch(ctx, f.config.Prefix, f.after)
	if err != nil {
		return err
	}
	f.answered(found, false)
	return nil
}

func (f *Follower) answered(found storer.Changes, whole bool) {
	regained := f.fails > 0
	if regained {
		f.config.Log.WithFields(logrus.Fields{
			"prefix":   f.config.Prefix,
			"revision": found.Revision,
			"failures": f.fails,
		}).Info("store.regained")
	}
	f.fails = 0
	f.after = max(f.after, found.Revision)
	if !whole && !regained && len(found.Entries)+len(found.Deleted) == 0 {
		return
	}
	f.config.Apply(Update{
		Whole:    whole,
		Entries:  found.Entries,
		Deleted:  found.Deleted,
		Revision: found.Revision,
		Regained: regained,
	})
}

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
