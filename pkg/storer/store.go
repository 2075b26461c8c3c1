package storer

import (
	"context"
	"time"
)

// Store is a client of the platform's key-value service. A binding sets every
// field. All functions are safe for concurrent use and respect the context's
// deadline.
type Store struct {
	// Get reads one entry. It returns *Absent if the key has no value.
	Get func(ctx context.Context, key string) (Entry, error)
	// List reads all entries whose keys start with prefix, in key order.
	List func(ctx context.Context, prefix string) ([]Entry, error)
	// Scan reads all entries whose keys start with prefix, together with a revision
	// after which a watch misses no change. The entries may already include some
	// of the changes that such a watch returns.
	Scan func(ctx context.Context, prefix string) (Changes, error)
	// Swap writes a value if the key is still at the expected revision. It returns
	// *Conflict if it is not, and *Unavailable if the outcome is unknown.
	Swap func(ctx context.Context, swap Swap) (Entry, error)
	// Delete removes a key if it is still at the expected revision.
	Delete func(ctx context.Context, key string, expected Revision) error
	// Grant creates a lease that expires after the given time to live.
	Grant func(ctx context.Context, timeToLive time.Duration) (Lease, error)
	// Renew extends a lease by its time to live. It returns *Lapsed if the lease has
	// ended.
	Renew func(ctx context.Context, id LeaseID) (Lease, error)
	// Revoke ends a lease and deletes the entries attached to it.
	Revoke func(ctx context.Context, id LeaseID) error
	// Watch waits until an entry under prefix has a revision above after, or until
	// the context ends, and returns the changes. Each call counts as one read. It
	// returns *Compacted if the store no longer has the changes since after.
	Watch func(ctx context.Context, prefix string, after Revision) (Changes, error)
	// Instances reads the platform's list of instances and upstreams, which may be
	// stale.
	Instances func(ctx context.Context) ([]Instance, error)
}
