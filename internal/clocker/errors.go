package clocker

// Unreadable reports that the clock of the time since boot cannot be read. No lease can be held safely on
// such a machine.
type Unreadable struct {
	// Cause is the error of the system call.
	Cause error
}

// Error implements error.
func (e *Unreadable) Error() string { return "the clock since boot cannot be read: " + e.Cause.Error() }

// Unwrap returns the error of the system call.
func (e *Unreadable) Unwrap() error { return e.Cause }
