package claimer

// notWritten reports that a claim was certainly not written.
type notWritten struct {
	// Cause is the reason.
	Cause error
}

// Error implements error.
func (e *notWritten) Error() string { return "claim not written: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *notWritten) Unwrap() error { return e.Cause }

// outcomeUnknown reports that a claim may have been written.
type outcomeUnknown struct {
	// Name is the claim's key in the store.
	Name string
}

// Error implements error.
func (e *outcomeUnknown) Error() string { return "claim " + e.Name + " may have been written" }

// taken reports that the claim belongs to another write.
type taken struct {
	// Mark is the value of the stored claim.
	Mark mark
}

// Error implements error.
func (e *taken) Error() string { return "claim belongs to write " + e.Mark.Write }
