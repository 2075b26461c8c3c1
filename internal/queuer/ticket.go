package queuer

import "time"

// Class is the priority class of a request.
type Class string

// The priority classes.
const (
	// Interactive requests have a caller who waits for the answer.
	Interactive Class = "interactive"
	// Overnight requests may wait long but must be answered by their deadline.
	Overnight Class = "overnight"
)

// Ticket describes a request to be placed at an upstream.
type Ticket struct {
	// ID identifies the request.
	ID string
	// Team is the team that sent the request.
	Team string
	// Key is the name of the API key that came with the request.
	Key string
	// Model is the model that it waits for.
	Model string
	// Version is the model version that it was admitted for.
	Version string
	// Adapter is the adapter that it requests; may be empty.
	Adapter string
	// Class is its priority class; empty means Interactive.
	Class Class
	// Tokens is the amount of work of the request, in tokens.
	Tokens int64
	// Deadline is when it must have been answered.
	Deadline time.Time
	// Value is any further data that Pick needs.
	Value any
}
