package tracker

// Mark is a point in the life of the process from which on freezes can be detected.
type Mark struct {
	guard      *Guard
	generation uint64
}

// Frozen reports whether the process was frozen since the mark.
func (m Mark) Frozen() bool { return m.guard.Generation() != m.generation }
