package auditor

import "time"

// Spend is one change of a team's budget.
type Spend struct {
	// At is when the change took effect.
	At time.Time
	// Tokens is the number of tokens spent; negative if they were returned.
	Tokens float64
}
