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
	// Key is the claim's key in the store.
	Key string
}

// Error implements error.
func (e *outcomeUnknown) Error() string { return "claim " + e.Key + " may have been written" }

// taken reports that the store holds the claim of another write.
type taken struct {
	// Value is the value of the stored claim.
	Value claimValue
}

// Error implements error.
func (e *taken) Error() string { return "claim belongs to write " + e.Value.Write }
