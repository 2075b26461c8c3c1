package platformer

// Aborted reports that the handler aborted a call, so that its answer was lost. A write may have taken effect.
type Aborted struct{}

// Error implements error.
func (e *Aborted) Error() string { return "the platform's answer was lost" }
