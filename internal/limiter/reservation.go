package limiter

// Reservation holds tokens that a team has reserved for a request. It must be settled once the request has
// ended; further calls of Settle do nothing.
type Reservation struct {
	bucket *bucket
	tokens int64
	// fromLoan is the part taken from a loan; the rest came from the reserve.
	fromLoan float64
	// loanSnapshot and reserveSnapshot determine how much may be refunded to the loan and to the reserve.
	loanSnapshot    accountSnapshot
	reserveSnapshot accountSnapshot
}

// accountSnapshot is the era and refund factor of an account when a reservation was made.
type accountSnapshot struct {
	era    uint64
	factor float64
}

// Tokens returns the number of reserved tokens.
func (r *Reservation) Tokens() int64 { return r.tokens }

// Settle refunds the tokens that the request did not use. If it used more than was reserved, the difference
// becomes a debt of the local balance.
func (r *Reservation) Settle(used int64) {
	if r.bucket == nil {
		return
	}
	bucket := r.bucket
	r.bucket = nil
	bucket.settle(r, max(used, 0))
}
