package pacer

import "time"

// State is what the limit of an upstream means for the requests of this instance.
type State struct {
	// Limited is set while the upstream states a limit; without it, the other fields have no meaning.
	Limited bool
	// Rate is the limit in requests per second, over all instances.
	Rate float64
	// Asking is set while a permit has been asked for and the answer is expected within milliseconds.
	Asking bool
	// Next is when this instance can send a request; not after now if that may be at once.
	Next time.Time
}
