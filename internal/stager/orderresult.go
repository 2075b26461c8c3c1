package stager

// OrderResult is the result of an order that the engine does not refuse.
type OrderResult int

// The results of accepted orders.
const (
	// InProgress means that the engine is carrying out the order.
	InProgress OrderResult = iota
	// Completed means that the order was carried out at once, or that the engine was already
	// in that state.
	Completed
)
