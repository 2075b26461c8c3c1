package forwarder

import "time"

// RequestMetadata is the metadata that is sent to an upstream with a request.
type RequestMetadata struct {
	// Team is the team of the caller; empty on open routes.
	Team string
	// TimeLeft is the time until the request's deadline; zero if there is none.
	TimeLeft time.Duration
	// Upstream is the instance that the request is addressed to.
	Upstream string
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// LastEventID is the identity of the last event that the caller received; may be empty.
	LastEventID string
}
