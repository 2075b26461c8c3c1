package delegator

// NoHolder reports that no holder of a duty is known, or that it cannot be reached from here.
type NoHolder struct {
	// Duty is the duty's name.
	Duty string
}

// Error implements error.
func (e *NoHolder) Error() string { return "no holder of " + e.Duty + " is known" }
