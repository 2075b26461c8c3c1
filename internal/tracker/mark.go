package tracker

// Mark is a point in time since which freezes of the process can be detected.
type Mark struct {
	detector   *FreezeDetector
	generation uint64
}

// Frozen reports whether the process was frozen since the mark.
func (m Mark) Frozen() bool { return m.detector.Generation() != m.generation }
