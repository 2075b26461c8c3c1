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

// HeadTooLarge reports an answer whose head exceeds the size limit.
type HeadTooLarge struct {
	// Bytes is the limit.
	Bytes int64
}

// Error implements error.
func (e *HeadTooLarge) Error() string {
	return "head of the answer is larger than " + strconv.FormatInt(e.Bytes, 10) + " bytes"
}
