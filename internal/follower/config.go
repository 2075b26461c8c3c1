package follower

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Config configures a Follower.
type Config struct {
	// Store is the platform's key-value service.
	Store *storer.Store
	// Prefix is the prefix of the followed keys.
	Prefix string
	// WatchInterval returns the minimum time between two watches, so that one watch returns many changes of
	// entries that change many times a second; nil means no minimum.
	WatchInterval func() time.Duration
	// FetchRelayed requests the changes after a revision, or the complete state, from other instances.
	// It returns false if the store has to be read instead; nil means always.
	FetchRelayed func(ctx context.Context, after storer.Revision, complete bool) (Relayed, bool)
	// FetchFromPeers requests the changes after a revision, or the complete state, from any instance that knows more
	// than this one, while the store does not answer this instance. It returns false if none does; nil means never.
	FetchFromPeers func(ctx context.Context, after storer.Revision, complete bool) (Relayed, bool)
	// Observe is called with each update and the time at which the store returned it, even if the
	// update has no changes; may be nil.
	Observe func(update Update, asOf time.Time)
	// Relevant reports whether an entry is relevant, by its key; nil means that all are.
	Relevant func(key string) bool
	// ComparedPart returns the part of an entry whose change counts; nil means its value.
	ComparedPart func(entry storer.Entry) []byte
	// Apply is called with each update that has changes, is complete or follows an outage, in
	// order.
	Apply func(Update)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log receives one line for each loss, recovery and compaction of the store.
	Log logrus.FieldLogger
}
