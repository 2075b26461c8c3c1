package limiter

import "time"

// waiter is a reservation that waits for a loan.
type waiter struct {
	into     *Reservation
	tokens   int64
	rank     int
	deadline time.Time
	// answer receives nil once the tokens are reserved, or the refusal.
	answer chan error
}
