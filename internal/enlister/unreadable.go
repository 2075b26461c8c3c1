package enlister

// Unreadable reports an instance's entry that cannot be encoded or decoded, or that lacks its
// address or failure domain.
type Unreadable struct {
	// Cause is the JSON error, or nil.
	Cause error
}

// Error implements error.
func (e *Unreadable) Error() string {
	if e.Cause == nil {
		return "the entry of an instance lacks its address or failure domain"
	}
	return "the entry of an instance cannot be encoded or decoded: " + e.Cause.Error()
}

// Unwrap returns the JSON error.
func (e *Unreadable) Unwrap() error { return e.Cause }
