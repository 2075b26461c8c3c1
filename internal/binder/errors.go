package binder

import "fmt"

// Status reports an answer that is neither a success nor a failure with an error type of its own.
type Status struct {
	// Status is the HTTP status.
	Status int
	// Code is the service's error code, if it sent one.
	Code string
}

// Error implements error.
func (e *Status) Error() string {
	return fmt.Sprintf("store answered %d %s", e.Status, e.Code)
}

// OverBudget reports a call that was not sent because the budget was spent.
type OverBudget struct {
	// Kind is "read" or "write".
	Kind string
	// Cause is the limiter's error.
	Cause error
}

// Error implements error.
func (e *OverBudget) Error() string {
	return "budget of store calls is spent for this " + e.Kind + ": " + e.Cause.Error()
}

// Unwrap returns the limiter's error.
func (e *OverBudget) Unwrap() error { return e.Cause }
