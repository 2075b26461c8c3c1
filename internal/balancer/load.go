package balancer

// Load is the load that an upstream states.
type Load struct {
	// Running is the number of requests that run.
	Running int
	// Waiting is the number of requests that wait for a slot.
	Waiting int
	// Slots is the number of requests that run concurrently; zero if not known.
	Slots int
	// Pace is how long work takes now, as a multiple of the usual time; zero if not stated.
	Pace float64
}

// Free reports whether the upstream has a free slot.
func (l Load) Free() bool { return l.Waiting == 0 && l.Running < l.Slots }
