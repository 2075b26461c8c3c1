package spreader

// NotReady reports that the instance has not obtained the configuration yet.
type NotReady struct{}

// Error implements error.
func (e *NotReady) Error() string { return "the configuration is not known here yet" }

// NotAccepted reports an act that had no effect.
type NotAccepted struct {
	// ID is the identity of the act.
	ID string
	// Cause is the reason.
	Cause error
}

// Error implements error.
func (e *NotAccepted) Error() string { return "act " + e.ID + " had no effect: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotAccepted) Unwrap() error { return e.Cause }

// UnknownOutcome reports an act that may or may not have taken effect. Repeating it with the
// same identity is safe and shows which.
type UnknownOutcome struct {
	// ID is the identity of the act.
	ID string
	// Cause is the error that hid the outcome.
	Cause error
}

// Error implements error.
func (e *UnknownOutcome) Error() string {
	return "the outcome of act " + e.ID + " is unknown; repeat it with the same identity: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcome) Unwrap() error { return e.Cause }

// Contended reports that other writes were committed first in every attempt.
type Contended struct{}

// Error implements error.
func (e *Contended) Error() string { return "other acts came first too often; repeat the act" }

// Reused reports that the identity of an act belongs to a different act.
type Reused struct {
	// ID is the identity.
	ID string
}

// Error implements error.
func (e *Reused) Error() string { return "identity " + e.ID + " belongs to a different act" }

// badMessage reports a peer's message that cannot be used.
type badMessage struct {
	reason string
	cause  error
}

func (e *badMessage) Error() string {
	if e.cause == nil {
		return "unfit message: " + e.reason
	}
	return "unfit message: " + e.reason + ": " + e.cause.Error()
}

func (e *badMessage) Unwrap() error { return e.cause }

// superseded reports an act that is in the head, with another act committed after it, so that
// the head has to be read again for its result.
type superseded struct{}

func (e *superseded) Error() string { return "another act came after it" }

// documentReplaced reports a document that was replaced while it was read.
type documentReplaced struct {
	cause error
}

func (e *documentReplaced) Error() string { return "a document was replaced meanwhile" }

func (e *documentReplaced) Unwrap() error { return e.cause }

// storeRolledBack reports that the store's revision is lower than before: it was restarted
// from older state.
type storeRolledBack struct{}

func (e *storeRolledBack) Error() string { return "the store went back to older state" }
