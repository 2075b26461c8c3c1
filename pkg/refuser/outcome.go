package refuser

// Outcome states whether a request ran at an upstream.
type Outcome string

// Outcomes of a request.
const (
	// Done means that the complete answer was delivered.
	Done Outcome = "done"
	// NotRun means that no byte of the request can have reached an upstream, or
	// that the upstream itself reported that it did not run the request.
	NotRun Outcome = "notrun"
	// Unknown means that the request may have run at an upstream.
	Unknown Outcome = "unknown"
)
