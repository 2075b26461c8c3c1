package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// leases provides the lease that claims are attached to. Many claims share one lease; it is never renewed and
// expires once the youngest claim is old enough.
type leases struct {
	store     *storer.Store
	now       func() time.Time
	retention time.Duration
	rotation  time.Duration

	// granting is a semaphore: it holds a token while one caller obtains a lease.
	granting chan struct{}

	mu     sync.Mutex
	lease  storer.LeaseID
	rotate time.Time
}

// get returns the lease for a new claim. It obtains one from the store if there is none or the current one is
// due for rotation.
func (l *leases) get(ctx context.Context) (storer.LeaseID, error) {
	now := l.now()
	if lease, rotate := l.current(); lease != "" && now.Before(rotate) {
		return lease, nil
	}
	select {
	case l.granting <- struct{}{}:
	case <-ctx.Done():
		return "", ctx.Err()
	}
	defer func() { <-l.granting }()
	if lease, rotate := l.current(); lease != "" && now.Before(rotate) {
		return lease, nil
	}
	granted, err := l.store.Grant(ctx, l.retention+l.rotation)
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = granted.ID
	l.rotate = now.Add(l.rotation)
	return l.lease, nil
}

// drop discards a lease that has expired.
func (l *leases) drop(lease storer.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease == lease {
		l.lease = ""
	}
}

// current returns the lease and when it is replaced.
func (l *leases) current() (storer.LeaseID, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease, l.rotate
}
