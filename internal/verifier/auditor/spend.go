package auditor

import "time"

// Spend is an amount that a team spent or got back at one time.
type Spend struct {
	// At is when the change took effect.
	At time.Time
	// Tokens is the number of tokens spent; negative if they were returned.
	Tokens float64
}
