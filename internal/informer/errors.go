package informer

// Malformed reports a peer's fact that cannot be read.
type Malformed struct {
	// Subject is what the fact is about; empty if it names nothing.
	Subject string
	// Cause is the decoding error; nil if there is none.
	Cause error
}

// Error implements error.
func (e *Malformed) Error() string {
	if e.Cause == nil {
		return "the fact names no subject"
	}
	return "the fact about " + e.Subject + " is malformed: " + e.Cause.Error()
}

// Unwrap returns the decoding error.
func (e *Malformed) Unwrap() error { return e.Cause }
