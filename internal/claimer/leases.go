package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// leases provides the lease that claims are attached to. Many claims share one lease. It is never renewed: it lasts
// for the rotation time, during which claims are attached to it, plus the retention time.
type leases struct {
	store     *storer.Store
	now       func() time.Time
	retention time.Duration
	rotation  time.Duration

	// grantSlot is a semaphore: it holds a token while one caller obtains a lease.
	grantSlot chan struct{}

	mu    sync.Mutex
	lease storer.LeaseID
	// rotateAt is when the lease is replaced by a new one.
	rotateAt time.Time
}

// get returns the lease for a new claim. It obtains one from the store if there is none or the current one is
// due for rotation.
func (l *leases) get(ctx context.Context) (storer.LeaseID, error) {
	now := l.now()
	if lease, rotateAt := l.current(); lease != "" && now.Before(rotateAt) {
		return lease, nil
	}
	select {
	case l.grantSlot <- struct{}{}:
	case <-ctx.Done():
		return "", ctx.Err()
	}
	defer func() { <-l.grantSlot }()
	if lease, rotateAt := l.current(); lease != "" && now.Before(rotateAt) {
		return lease, nil
	}
	granted, err := l.store.Grant(ctx, l.retention+l.rotation)
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = granted.ID
	l.rotateAt = now.Add(l.rotation)
	return l.lease, nil
}

// discard makes get obtain a new lease instead of the given one, which has expired.
func (l *leases) discard(lease storer.LeaseID) {
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
	return l.lease, l.rotateAt
}
