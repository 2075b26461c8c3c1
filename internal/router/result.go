package router

// Result is what an attempt says about the upstream's health.
type Result int

// The results of an attempt.
const (
	// Neutral attempts say nothing about the upstream's health.
	Neutral Result = iota
	// Good attempts were answered; they close the circuit.
	Good
	// Bad attempts failed; enough in a row open the circuit.
	Bad
	// Unreachable attempts could not connect; one opens the circuit.
	Unreachable
)
