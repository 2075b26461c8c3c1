package orderer

import "strconv"

// Fenced reports that the engine has already received an order with a higher fencing number. The
// order was not executed.
type Fenced struct {
	// Order is the identity of the order.
	Order string
}

// Error implements error.
func (e *Fenced) Error() string { return "order " + e.Order + " carries an old fencing number" }

// Expired reports that the order was not executed because it had expired.
type Expired struct {
	// Order is the identity of the order.
	Order string
}

// Error implements error.
func (e *Expired) Error() string { return "order " + e.Order + " has expired" }

// NoMemory reports that the engine does not have enough free memory. The order was
// not executed.
type NoMemory struct {
	// Order is the identity of the order.
	Order string
}

// Error implements error.
func (e *NoMemory) Error() string { return "engine lacks memory for order " + e.Order }

// Refused reports that the engine answered with an error status that has no type of its own.
type Refused struct {
	// Order is the identity of the order.
	Order string
	// Status is the HTTP status.
	Status int
}

// Error implements error.
func (e *Refused) Error() string {
	return "engine answered order " + e.Order + " with status " + strconv.Itoa(e.Status)
}

// Unanswered reports that no answer was received. The engine may have executed the order, or may still
// do so until it expires.
type Unanswered struct {
	// Order is the identity of the order.
	Order string
	// Cause is the error of the transport.
	Cause error
}

// Error implements error.
func (e *Unanswered) Error() string {
	return "no answer to order " + e.Order + ": " + e.Cause.Error()
}

// Unwrap returns the error of the transport.
func (e *Unanswered) Unwrap() error { return e.Cause }
