package storer

import "fmt"

// Absent reports that a key has no value.
type Absent struct {
	// Key is the key that was read.
	Key string
}

// Error implements error.
func (e *Absent) Error() string { return "store key " + e.Key + " is absent" }

// Conflict reports that an entry was not at the expected revision. The write
// did not take effect.
type Conflict struct {
	// Key is the entry that was to be written.
	Key string
	// Current is the revision that the entry has; zero if absent.
	Current Revision
}

// Error implements error.
func (e *Conflict) Error() string {
	return fmt.Sprintf("store key %s is at revision %d", e.Key, e.Current)
}

// Lapsed reports that a lease is over.
type Lapsed struct {
	// Lease is the lease that is over.
	Lease LeaseID
}

// Error implements error.
func (e *Lapsed) Error() string { return "store lease " + string(e.Lease) + " has lapsed" }

// Compacted reports that the store no longer has the changes that a watch asked
// for; the prefix has to be read anew.
type Compacted struct {
	// After is the revision that was asked from.
	After Revision
}

// Error implements error.
func (e *Compacted) Error() string {
	return fmt.Sprintf("store no longer has the changes since revision %d", e.After)
}

// Unavailable reports that the store gave no usable answer. A write may or may
// not have taken effect.
type Unavailable struct {
	// Operation names the call.
	Operation string
	// Cause is the transport's error, or nil.
	Cause error
}

// Error implements error.
func (e *Unavailable) Error() string {
	if e.Cause == nil {
		return "store unavailable during " + e.Operation
	}
	return "store unavailable during " + e.Operation + ": " + e.Cause.Error()
}

// Unwrap returns the transport's error.
func (e *Unavailable) Unwrap() error { return e.Cause }
