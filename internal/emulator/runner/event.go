package runner

import "time"

// Event reports that a prompt prefix was added to or evicted from the cache.
type Event struct {
	// Sequence is the event's number; dropped events leave gaps.
	Sequence uint64 `json:"sequence"`
	// Prefix identifies the prefix: the request's prompt_cache_key.
	Prefix string `json:"prefix"`
	// Stored is set if the prefix was added, and unset if it was evicted.
	Stored bool `json:"stored"`

	at time.Time
}
