package clocker

// Unreadable reports a machine without the clock since boot, on which no lease
// can be held safely.
type Unreadable struct {
	// Cause is the error of the system call.
	Cause error
}

// Error implements error.
func (e *Unreadable) Error() string { return "the clock since boot cannot be read: " + e.Cause.Error() }

// Unwrap returns the error of the system call.
func (e *Unreadable) Unwrap() error { return e.Cause }
