package coldstarter

import (
	"slices"
	"time"
)

// Result holds the measurements of one simulation, without the warm-up.
type Result struct {
	// Requests is the number of requests.
	Requests int
	// Waits are the times that requests waited for a copy; zero if one was ready.
	Waits []time.Duration
	// Wakes are the cold starts.
	Wakes []Wake
	// IdleHours is the total time that loaded copies were idle, in hours, each weighted by its share of an engine's memory.
	IdleHours float64
	// Refused is the number of orders that engines refused for lack of memory.
	Refused int
	// Peak is the highest number of concurrent loads from the weight store.
	Peak int
	// Limited is the number of loads that the weight store's rate limit refused.
	Limited int
}

// Wake is one cold start: the first request for a model in a domain that has
// no copy of it.
type Wake struct {
	// At is the time at which the request arrived.
	At time.Time
	// Took is the time until the copy was reported ready.
	Took time.Duration
	// Bytes is the model's size, in bytes.
	Bytes int64
	// Remote is set if the weights were loaded from the weight store.
	Remote bool
}

// quantile returns a quantile of the durations, or zero if there are none.
func quantile(durations []time.Duration, share float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// coldStartTimes returns the durations of all cold starts.
func (r *Result) coldStartTimes() []time.Duration {
	times := make([]time.Duration, len(r.Wakes))
	for i, wake := range r.Wakes {
		times[i] = wake.Took
	}
	return times
}
