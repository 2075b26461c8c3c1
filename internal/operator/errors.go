package operator

// Denied reports a caller without an operator's certificate.
type Denied struct {
	// Cause is the error from reading the certificate, or nil.
	Cause error
}

// Error implements error.
func (e *Denied) Error() string { return "an operator's certificate is needed" }

// Unwrap returns the error from reading the certificate.
func (e *Denied) Unwrap() error { return e.Cause }

// Refused reports an act that had no effect.
type Refused struct {
	// Code is the machine-readable reason, such as CodeNotFound.
	Code string
	// Reason is the human-readable reason.
	Reason string
}

// Error implements error.
func (e *Refused) Error() string { return e.Code + ": " + e.Reason }

// UnknownOutcome reports an act that may have taken effect.
type UnknownOutcome struct {
	// ID is the identity to repeat the act with.
	ID string
	// Cause is the error that left the outcome open.
	Cause error
}

// Error implements error.
func (e *UnknownOutcome) Error() string {
	return "the outcome is unknown; repeat the act with identity " + e.ID + ": " + e.Cause.Error()
}

// Unwrap returns the error that left the outcome open.
func (e *UnknownOutcome) Unwrap() error { return e.Cause }

// RevisionNotRetained reports a revision that this instance no longer retains, or never had.
type RevisionNotRetained struct {
	// Revision is the requested revision.
	Revision uint64
}

// Error implements error.
func (e *RevisionNotRetained) Error() string { return "the revision is not kept on this instance" }

// Malformed reports a request with missing or invalid content.
type Malformed struct {
	// What describes the invalid part of the request.
	What string
}

// Error implements error.
func (e *Malformed) Error() string { return "malformed request: " + e.What }

// CallFailed reports a call that returned an error instead of an answer.
type CallFailed struct {
	// Call is the name of the call.
	Call string
	// Cause is the gRPC error.
	Cause error
}

// Error implements error.
func (e *CallFailed) Error() string { return e.Call + " failed: " + e.Cause.Error() }

// Unwrap returns the gRPC error.
func (e *CallFailed) Unwrap() error { return e.Cause }
