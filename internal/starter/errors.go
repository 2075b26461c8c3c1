package starter

import "strings"

// Failed reports that a process could not be built, started or reached, or did not become ready or exit in time.
type Failed struct {
	// Process is the name or the address of the process.
	Process string
	// Step is the operation that failed, such as "build" or "POST /control/fault".
	Step string
	// Output is the process's log, the compiler's output or the body of the error response.
	Output string
	// Cause is the underlying error, or nil.
	Cause error
}

// Error implements error.
func (e *Failed) Error() string {
	text := e.Process + ": " + e.Step + " failed"
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return strings.TrimSpace(text + "\n" + e.Output)
}

// Unwrap returns the underlying error.
func (e *Failed) Unwrap() error { return e.Cause }
