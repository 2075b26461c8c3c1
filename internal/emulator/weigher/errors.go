package weigher

// TooFast reports that a fetch exceeded the store's rate limit.
type TooFast struct {
	// Checkpoint is the requested checkpoint.
	Checkpoint string
}

// Error implements error.
func (e *TooFast) Error() string { return "weight store rate limit exceeded by fetch of " + e.Checkpoint }
