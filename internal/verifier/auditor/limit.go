package auditor

import "time"

// Limit is a team's rate and burst, in force until the next limit.
type Limit struct {
	// From is when the limit came into force.
	From time.Time
	// Rate is the rate in tokens per second.
	Rate float64
	// Burst is the capacity of the bucket in tokens.
	Burst float64
}
