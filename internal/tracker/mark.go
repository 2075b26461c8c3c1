package tracker

// Mark is a point in time since which freezes of the process can be detected.
type Mark struct {
	guard      *Guard
	generation uint64
}

// Frozen reports whether the process was frozen since the mark.
func (m Mark) Frozen() bool { return m.guard.Generation() != m.generation }
