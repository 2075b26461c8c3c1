package limiter

import "fmt"

// NotHolder reports that the instance does not hold the duty in the requested epoch.
type NotHolder struct {
	// Duty is the requested duty.
	Duty string
	// Epoch is the requested epoch.
	Epoch uint64
	// Cause is why the term is not valid, or nil.
	Cause error
}

// Error implements error.
func (e *NotHolder) Error() string {
	return fmt.Sprintf("duty %s is not held in epoch %d", e.Duty, e.Epoch)
}

// Unwrap returns the cause.
func (e *NotHolder) Unwrap() error { return e.Cause }

// Stale reports a demand that is older than one already answered.
type Stale struct {
	// Name is the sender of the demand.
	Name string
}

// Error implements error.
func (e *Stale) Error() string { return "a later demand of " + e.Name + " was answered before" }

// Malformed reports a message that cannot be decoded or that this instance does not serve.
type Malformed struct {
	// Cause is the decoder's error, or nil.
	Cause error
}

// Error implements error.
func (e *Malformed) Error() string { return "malformed demand" }

// Unwrap returns the decoder's error.
func (e *Malformed) Unwrap() error { return e.Cause }
