package pacer

import "time"

// Statement is what the answer of an upstream says about the rate of requests that it takes from all
// instances together.
type Statement struct {
	// Limited is set if the answer states a limit.
	Limited bool
	// Rate is the limit in requests per second.
	Rate float64
	// Sent is when the request was sent.
	Sent time.Time
}
