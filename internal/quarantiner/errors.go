package quarantiner

// Malformed reports a message that cannot be decoded.
type Malformed struct {
	// Cause is the decoder's error.
	Cause error
}

// Error implements error.
func (e *Malformed) Error() string {
	return "malformed message about a prompt's part: " + e.Cause.Error()
}

// Unwrap returns the decoder's error.
func (e *Malformed) Unwrap() error { return e.Cause }
