package limiter

import "time"

// queuedReservation is a reservation that waits for a loan.
type queuedReservation struct {
	// reservation is filled in once the tokens are reserved.
	reservation *Reservation
	tokens      int64
	rank        int
	deadline    time.Time
	// answer receives nil once the tokens are reserved, or the refusal.
	answer chan error
}
