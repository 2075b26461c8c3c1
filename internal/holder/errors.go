package holder

import (
	"fmt"
	"time"
)

// Expired reports that a term's deadline has passed.
type Expired struct {
	// Duty is the duty's name.
	Duty string
	// Epoch is the term's epoch.
	Epoch uint64
	// Deadline is when the term ended.
	Deadline time.Time
}

// Error implements error.
func (e *Expired) Error() string {
	return fmt.Sprintf("term %d of duty %s expired at %s", e.Epoch, e.Duty, e.Deadline.Format(time.RFC3339Nano))
}

// Frozen reports that the holder's process was frozen and that the term has not been renewed since.
type Frozen struct {
	// Duty is the duty's name.
	Duty string
	// Epoch is the term's epoch.
	Epoch uint64
}

// Error implements error.
func (e *Frozen) Error() string {
	return fmt.Sprintf("the holder of term %d of duty %s was frozen", e.Epoch, e.Duty)
}

// Superseded reports that a term was given up or taken over by a later claim.
type Superseded struct {
	// Duty is the duty's name.
	Duty string
	// Epoch is the term's epoch.
	Epoch uint64
	// By is the later epoch; zero if the holder gave the duty up.
	By uint64
}

// Error implements error.
func (e *Superseded) Error() string {
	return fmt.Sprintf("term %d of duty %s was superseded by %d", e.Epoch, e.Duty, e.By)
}

// Malformed reports a message or record that cannot be decoded.
type Malformed struct {
	// What names the message or record.
	What string
	// Cause is the decoder's error, or nil.
	Cause error
}

// Error implements error.
func (e *Malformed) Error() string { return "malformed " + e.What }

// Unwrap returns the decoder's error.
func (e *Malformed) Unwrap() error { return e.Cause }

// claimFailed reports why an attempt to claim a duty failed.
type claimFailed struct {
	reason string
	cause  error
}

// Error implements error.
func (e *claimFailed) Error() string {
	if e.cause == nil {
		return "claim failed: " + e.reason
	}
	return "claim failed: " + e.reason + ": " + e.cause.Error()
}

// Unwrap returns the underlying error.
func (e *claimFailed) Unwrap() error { return e.cause }
