package claimer

import "time"

// Request identifies a call that must not run twice.
type Request struct {
	// Team is the team that sent the call.
	Team string
	// Service is the service that the call goes to.
	Service string
	// Key is the caller's idempotency key.
	Key string
	// Digest is a hash of method, path and body; a repeated call must have the same digest.
	Digest string
	// Deadline is when the caller must have its answer; zero means none.
	Deadline time.Time
}
