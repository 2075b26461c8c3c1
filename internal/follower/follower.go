// Package follower keeps an instance up to date with the store's entries under one key prefix. A
// Follower reads the complete state once, then the changes, from the store or from another instance
// that passes them on. It reads the complete state again if the store has compacted the history that
// it needs.
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
	// initialBackoff is the pause after the first failure of the store. It doubles with each further
	// one.
	initialBackoff = 100 * time.Millisecond
	// maxBackoff bounds the pause after further failures, so that the recovery of the store is
	// noticed within a second.
	maxBackoff = 800 * time.Millisecond
	// overdue is how long a call to the store may take before other instances are asked. A watch without changes is
	// answered after half a second.
	overdue = 800 * time.Millisecond
	// recentFailure is how long after its last failure this instance takes a recovery of others for one from the same outage.
	recentFailure = 5 * time.Second
	// peerInterval is the time between two queries of other instances while the store does not answer.
	peerInterval = 400 * time.Millisecond
	// maxGap is how long ago the store may have answered other instances for it to count as serving all the while. It covers
	// the pause between two of their reads.
	maxGap = 1500 * time.Millisecond
)

// hashSeed is the seed of the hashes of entries. It may differ between processes, since the hashes
// stay in this one.
var hashSeed = maphash.MakeSeed()

// Follower follows the entries under one prefix, through other instances or the store.
type Follower struct {
	config Config
	// revision is the revision up to which it has read.
	revision storer.Revision
	// hasState is set once it has read the complete state, and cleared when that must be read again.
	hasState bool
	// hashes holds a hash of each entry's compared part by key, so that an entry that was rewritten
	// unchanged is not decoded again.
	hashes map[string]uint64
	// failures counts the failures since the store last answered.
	failures int
	// unreachableAt is a time at which the store was unreachable, according to the last read that failed.
	unreachableAt time.Time
	// answered is when the store last answered.
	answered time.Time
	// fromPeers is set if other instances have passed on updates since the store last answered.
	fromPeers bool
	// confirmed is when the store answered the instance that passed on the last update since then.
	confirmed time.Time
	// query is the query of other instances that is under way; nil if there is none.
	query *peerQuery
}

// New returns a Follower that has read nothing yet.
func New(config Config) *Follower {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.WatchInterval == nil {
		config.WatchInterval = func() time.Duration { return 0 }
	}
	if config.FetchRelayed == nil {
		config.FetchRelayed = func(context.Context, storer.Revision, bool) (Relayed, bool) { return Relayed{}, false }
	}
	if config.FetchFromPeers == nil {
		config.FetchFromPeers = func(context.Context, storer.Revision, bool) (Relayed, bool) { return Relayed{}, false }
	}
	if config.Observe == nil {
		config.Observe = func(Update, time.Time) {}
	}
	if config.Relevant == nil {
		config.Relevant = func(string) bool { return true }
	}
	if config.ComparedPart == nil {
		config.ComparedPart = func(entry storer.Entry) []byte { return entry.Value }
	}
	return &Follower{
		config: config,
		hashes: map[string]uint64{},
	}
}

// Run follows the prefix until the context ends. It returns nil.
func (f *Follower) Run(ctx context.Context) error {
	f.loop(ctx)
	return nil
}

// loop fetches updates. Their requests are at least a pause apart, unless one failed.
func (f *Follower) loop(ctx context.Context) {
	for ctx.Err() == nil {
		start := f.config.Now()
		if err := f.step(ctx); err != nil {
			f.backOff(ctx, err)
			continue
		}
		if remaining := f.config.WatchInterval() - f.config.Now().Sub(start); remaining > 0 {
			waiter.Pause(ctx, remaining)
		}
	}
}

// step fetches one update: from another instance, or by reading the complete state from the store,
// or by waiting there for changes.
func (f *Follower) step(ctx context.Context) error {
	if relayed, ok := f.config.FetchRelayed(ctx, f.revision, !f.hasState); ok {
		f.markRecovered(&relayed.Update)
		f.applyRelayed(relayed)
		return nil
	}
	r := &read{
		store:     f.config.Store,
		prefix:    f.config.Prefix,
		after:     f.revision,
		complete:  !f.hasState,
		requested: f.config.Now(),
		done:      make(chan struct{}),
	}
	go r.run(ctx)
	wait := overdue
	if f.failures > 0 {
		wait = peerInterval
	}
	f.queryPeers(ctx, r.done, nil, wait)
	<-r.done
	return f.applyRead(r)
}

// queryPeers queries other instances at intervals, first after a delay, and applies what they know, until done is closed or
// end fires. Queries do not delay it.
func (f *Follower) queryPeers(ctx context.Context, done <-chan struct{}, end <-chan time.Time, delay time.Duration) {
	next := time.NewTimer(delay)
	defer next.Stop()
	for {
		var answered <-chan struct{}
		if f.query != nil {
			answered = f.query.done
		}
		select {
		case <-done:
			return
		case <-end:
			return
		case <-ctx.Done():
			return
		case <-answered:
			f.applyQuery()
		case <-next.C:
			f.startQuery(ctx)
			next.Reset(peerInterval)
		}
	}
}

// startQuery starts a query of other instances unless one is under way.
func (f *Follower) startQuery(ctx context.Context) {
	if f.query != nil {
		return
	}
	f.query = &peerQuery{
		fetch:    f.config.FetchFromPeers,
		after:    f.revision,
		complete: !f.hasState,
		done:     make(chan struct{}),
	}
	go f.query.run(ctx)
}

// applyQuery applies what other instances know beyond this one's state. It does not count as an answer of the store.
func (f *Follower) applyQuery() {
	relayed, ok := f.query.relayed, f.query.ok
	f.query = nil
	if !ok {
		return
	}
	metrics.GetOrCreateCounter(`buckthorngap_follow_peers_total`).Inc()
	if !f.fromPeers {
		f.fromPeers = true
		f.config.Log.WithFields(logrus.Fields{
			"prefix":   f.config.Prefix,
			"former":   f.revision,
			"revision": relayed.Update.Revision,
			"failures": f.failures,
		}).Info("store.relayed")
	}
	f.confirmed = relayed.AsOf
	f.applyRelayed(relayed)
}

// applyRead applies the result of a read. An answer that is older than what other instances have passed on meanwhile
// counts as an update without changes.
func (f *Follower) applyRead(r *read) error {
	if r.err != nil {
		// TCP doubles the pauses between its attempts, so that the last one was made in the second half of the call.
		f.unreachableAt = r.requested.Add(f.config.Now().Sub(r.requested) / 2)
		return r.err
	}
	update := Update{
		Complete: r.complete,
		Entries:  r.changes.Entries,
		Deleted:  r.changes.Deleted,
		Revision: r.changes.Revision,
	}
	asOf := f.config.Now()
	if r.complete {
		asOf = r.requested
	}
	if f.hasState && update.Revision < f.revision {
		update = Update{
			Revision: f.revision,
		}
		asOf = r.requested
	}
	f.markRestored(&update)
	if r.complete {
		f.revision = update.Revision // the store may have gone back
	}
	f.hasState = true
	f.markRecovered(&update)
	f.deliver(asOf, update)
	return nil
}

// applyRelayed applies an update from another instance. One that is older than this instance's
// state counts as an update without changes.
func (f *Follower) applyRelayed(relayed Relayed) {
	update := relayed.Update
	if update.Revision < f.revision || update.Revision.Era() > f.revision.Era() && !update.Complete {
		update = Update{
			Revision:      f.revision,
			Recovered:     update.Recovered,
			UnreachableAt: update.UnreachableAt,
		}
	}
	if update.Recovered && update.UnreachableAt.IsZero() && f.config.Now().Sub(f.unreachableAt) < recentFailure {
		update.UnreachableAt = f.unreachableAt // other instances do not tell; they recovered from the same outage
	}
	f.markRestored(&update)
	f.hasState = f.hasState || update.Complete
	f.deliver(relayed.AsOf, update)
}

// markRecovered records that the store answered, and marks the update if it had failed before. One that turned this instance away
// but served others, which passed on what they read, has not: what was deleted meanwhile has not lapsed because of it.
func (f *Follower) markRecovered(update *Update) {
	failures := f.failures
	lost := f.sinceAnswer()
	served := f.fromPeers && f.config.Now().Sub(f.confirmed) <= maxGap
	f.failures = 0
	f.answered = f.config.Now()
	f.fromPeers = false
	if failures == 0 {
		return
	}
	if !served {
		update.Recovered = true
		update.UnreachableAt = f.unreachableAt
	}
	f.config.Log.WithFields(logrus.Fields{
		"prefix":   f.config.Prefix,
		"revision": f.revision,
		"failures": failures,
		"after":    lost,
		"served":   served,
	}).Info("store.regained")
}

// sinceAnswer returns the time since the store last answered, or zero if it never did.
func (f *Follower) sinceAnswer() time.Duration {
	if f.answered.IsZero() {
		return 0
	}
	return f.config.Now().Sub(f.answered)
}

// markRestored sets Restored, and logs it, if the store was restored from a copy since the last update.
func (f *Follower) markRestored(update *Update) {
	if f.revision == 0 || update.Revision.Era() <= f.revision.Era() {
		return
	}
	update.Restored = true
	metrics.GetOrCreateCounter(`buckthorngap_follow_restored_total`).Inc()
	f.config.Log.WithFields(logrus.Fields{
		"prefix":   f.config.Prefix,
		"former":   f.revision,
		"revision": update.Revision,
		"entries":  len(update.Entries),
	}).Warn("store.restored")
}

// deliver passes an update on, without irrelevant entries.
func (f *Follower) deliver(asOf time.Time, update Update) {
	f.revision = max(f.revision, update.Revision)
	f.filter(&update)
	f.config.Observe(update, asOf)
	if update.Complete || update.Recovered || len(update.Entries)+len(update.Renewed)+len(update.Deleted) > 0 {
		f.config.Apply(update)
	}
}

// filter drops irrelevant entries, and moves those that were rewritten unchanged from Entries to
// Renewed. The first write of each entry after a restoration counts as a change, since what the copy held may have been
// ignored.
func (f *Follower) filter(update *Update) {
	if update.Complete {
		clear(f.hashes)
	}
	ignored := func(key string) bool { return !f.config.Relevant(key) }
	update.Deleted = slices.DeleteFunc(update.Deleted, ignored)
	for _, key := range update.Deleted {
		delete(f.hashes, key)
	}
	changed := make([]storer.Entry, 0, len(update.Entries))
	for _, entry := range update.Entries {
		if ignored(entry.Key) {
			continue
		}
		hash := maphash.Bytes(hashSeed, f.config.ComparedPart(entry))
		if previous, ok := f.hashes[entry.Key]; ok && previous == hash {
			update.Renewed = append(update.Renewed, Renewal{
				Key:      entry.Key,
				Revision: entry.Revision,
			})
			continue
		}
		if !update.Restored {
			f.hashes[entry.Key] = hash
		}
		changed = append(changed, entry)
	}
	update.Entries = changed
}

// backOff handles a failure and waits before the next try. If the store no longer has the changes, the complete state is
// read next. That alone does not count as a failure of the store, and the read is not delayed.
func (f *Follower) backOff(ctx context.Context, err error) {
	var compacted *storer.Compacted
	if errors.As(err, &compacted) {
		f.config.Log.WithFields(logrus.Fields{
			"prefix": f.config.Prefix,
			"after":  compacted.After,
		}).Info("store.compacted")
		f.hasState = false
	}
	var unavailable *storer.Unavailable
	if compacted != nil && !errors.As(err, &unavailable) {
		return
	}
	if ctx.Err() != nil {
		return
	}
	f.failures++
	metrics.GetOrCreateCounter(`buckthorngap_follow_failures_total`).Inc()
	if f.failures&(f.failures-1) == 0 { // bounds the log: the first failure and each doubling
		f.config.Log.WithFields(logrus.Fields{
			"prefix":   f.config.Prefix,
			"revision": f.revision,
			"failures": f.failures,
			"after":    f.sinceAnswer(),
			"error":    err,
		}).Warn("store.lost")
	}
	backoff := min(initialBackoff<<min(f.failures-1, 4), maxBackoff)
	end := time.NewTimer(backoff/2 + rand.N(backoff/2))
	defer end.Stop()
	f.queryPeers(ctx, nil, end.C, 0)
}
