package placer

import "time"

// The classes of a demand.
const (
	// ClassInteractive requests have a caller that waits.
	ClassInteractive = "interactive"
	// ClassOvernight requests may wait but must be answered.
	ClassOvernight = "overnight"
)

// Demand is one request's need for a loaded model. It is added when the request arrives,
// and again if the request goes back to waiting for a copy.
type Demand struct {
	// Model is the model's name.
	Model string
	// Version is the version that the request is bound to, or empty.
	Version string
	// Adapter is the adapter's name, or empty.
	Adapter string
	// Class is ClassInteractive or ClassOvernight.
	Class string
	// Tokens is the maximum number of tokens that the request may use.
	Tokens int64
	// Deadline is when the request is rejected if it has not been served.
	Deadline time.Time
	// Team is the team that sent the request.
	Team string
}

// Key identifies what has to be loaded. Requests with equal keys need the same thing.
type Key struct {
	// Model is the model's name.
	Model string
	// Version is the requested version, or empty for the current one.
	Version string
	// Adapter is the adapter's name, or empty.
	Adapter string
}
