package storer

import "time"

// LeaseID identifies a lease.
type LeaseID string

// Lease holds the ID and the expiry of a lease that the store granted or renewed.
type Lease struct {
	// ID identifies the lease.
	ID LeaseID
	// Deadline is when the lease expires by the caller's clock. It is counted from
	// before the request was sent, so that it is never later than the expiry at
	// the store.
	Deadline time.Time
}
