package completer

import "strconv"

// NoStatus reports a status that no final answer has: one outside 200 to 599. 1xx announce an answer, and 101 answers a request
// for another protocol, which is never made.
type NoStatus struct {
	// Status is what was sent.
	Status int
}

// Error implements error.
func (e *NoStatus) Error() string { return "no status of an answer: " + strconv.Itoa(e.Status) }
