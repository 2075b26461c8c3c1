package operator

import "time"

// HistoryAct is one entry of the history: an act or a withdrawal.
type HistoryAct struct {
	// ID is the act's identity; empty for a withdrawal.
	ID string
	// Operator is the name of the operator who made the call.
	Operator string
	// At is the time of the act.
	At time.Time
	// Revision is the configuration revision that the act created; zero for a withdrawal.
	Revision uint64
	// Operations describe the operations, one line each; empty for long acts.
	Operations []string
	// Count is the number of operations, including those not described.
	Count int
}
