package storer

import "fmt"

// Absent reports that a key has no value.
type Absent struct {
	// Key is the key that was read.
	Key string
}

// Error implements error.
func (e *Absent) Error() string { return "store key " + e.Key + " is absent" }

// Conflict reports that an entry was not at the expected revision, so that the
// write did not take effect.
type Conflict struct {
	// Key is the key of the entry.
	Key string
	// Current is the entry's actual revision; zero if it is absent.
	Current Revision
}

// Error implements error.
func (e *Conflict) Error() string {
	return fmt.Sprintf("store key %s is at revision %s", e.Key, e.Current)
}

// Lapsed reports that a lease has expired or was revoked.
type Lapsed struct {
	// Lease is the ID of the lease.
	Lease LeaseID
}

// Error implements error.
func (e *Lapsed) Error() string { return "store lease " + string(e.Lease) + " has lapsed" }

// Compacted reports that the store no longer has the changes that a watch
// requested; the caller has to read all entries under the prefix again.
type Compacted struct {
	// After is the revision after which changes were requested.
	After Revision
}

// Error implements error.
func (e *Compacted) Error() string {
	return fmt.Sprintf("store no longer has the changes since revision %s", e.After)
}

// Unavailable reports that the store returned no usable answer. A write may or may
// not have taken effect.
type Unavailable struct {
	// Operation is the name of the call that failed.
	Operation string
	// Cause is the error of the transport, or nil.
	Cause error
}

// Error implements error.
func (e *Unavailable) Error() string {
	if e.Cause == nil {
		return "store unavailable during " + e.Operation
	}
	return "store unavailable during " + e.Operation + ": " + e.Cause.Error()
}

// Unwrap returns the error of the transport.
func (e *Unavailable) Unwrap() error { return e.Cause }
