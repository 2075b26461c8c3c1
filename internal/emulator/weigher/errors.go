package weigher

// RateExceeded reports that a fetch exceeded the store's rate limit.
type RateExceeded struct {
	// Checkpoint is the requested checkpoint.
	Checkpoint string
}

// Error implements error.
func (e *RateExceeded) Error() string { return "weight store rate limit exceeded: " + e.Checkpoint }
