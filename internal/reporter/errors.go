package reporter

// Foreign reports a message with load reports from an instance of another failure domain.
type Foreign struct {
	// Domain is the sender's failure domain.
	Domain string
}

// Error implements error.
func (e *Foreign) Error() string {
	return "load reports of failure domain " + e.Domain + " are not taken"
}
