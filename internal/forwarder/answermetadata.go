package forwarder

import "github.com/buckthorngap/buckthorngap/internal/balancer"

// AnswerMetadata is the metadata that an upstream sends in the header of an answer.
type AnswerMetadata struct {
	// RequestID is the identity of the answered request; empty if not stated.
	RequestID string
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
	// Receipt is set if the answer carries its receipt, the field that the upstream adds to each of its
	// answers.
	Receipt bool
	// HasLoad is set if the answer states Load.
	HasLoad bool
	// Load is the upstream's load.
	Load balancer.Load
	// Leaving is set if the upstream states that it leaves and wants no more requests.
	Leaving bool
	// RateLimited is set if the answer states RateLimit.
	RateLimited bool
	// RateLimit is the number of requests per second that the upstream takes from all instances together.
	RateLimit float64
}
