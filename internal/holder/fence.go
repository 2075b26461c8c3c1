package holder

// Fence carries a term's fencing token and its check to code that acts under the term.
type Fence struct {
	// Epoch is the fencing token.
	Epoch uint64
	// Check returns an error once another instance may hold the duty. Call it immediately before
	// each act.
	Check func() error
}

// EpochEra returns the era of the store in which the term with an epoch began.
func EpochEra(epoch uint64) uint64 { return epoch >> epochBits }
