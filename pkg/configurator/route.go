package configurator

import "time"

// Route directs requests for a host and a path prefix to one or more services.
type Route struct {
	// Name is unique.
	Name string `json:"name"`
	// Host is the requested host, in lower case and without port; empty means
	// any host.
	Host string `json:"host,omitempty"`
	// Prefix is the path prefix that requests must have. It begins and ends with
	// a slash.
	Prefix string `json:"prefix"`
	// Targets are the services that requests are distributed over by weight.
	Targets []Target `json:"targets"`
	// Once is set if requests are not idempotent and must not run twice.
	Once bool `json:"once,omitempty"`
	// Stream is set if answers are event streams.
	Stream bool `json:"stream,omitempty"`
	// Resumable is set if a broken stream may be resumed at another upstream.
	Resumable bool `json:"resumable,omitempty"`
	// Open admits callers without a key.
	Open bool `json:"open,omitempty"`
	// Timeout is how long a request may wait; zero means no limit.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Objective is the latency objective for an answer, or for the first event
	// of a stream.
	Objective time.Duration `json:"objective,omitempty"`
	// Gap is the longest pause between two events that still meets the
	// objective.
	Gap time.Duration `json:"gap,omitempty"`
	// Patience is how long callers wait for the first event of a stream before
	// they disconnect; zero means until their deadline.
	Patience time.Duration `json:"patience,omitempty"`
	// Attempts is the maximum number of upstreams that a request is sent to;
	// zero means one.
	Attempts int `json:"attempts,omitempty"`
	// Priority orders its requests against others; 0 is the highest priority.
	Priority int `json:"priority,omitempty"`
	// Affinity sends requests whose prompts have a common prefix to the same
	// upstreams.
	Affinity bool `json:"affinity,omitempty"`
	// Regions are the regions whose upstreams may get requests of the route; empty means all.
	Regions []string `json:"regions,omitempty"`
}

// Target is one service that a route distributes requests to.
type Target struct {
	// Service is the service's name.
	Service string `json:"service"`
	// Weight is the service's share of the requests relative to the other
	// targets.
	Weight int `json:"weight"`
}

func (r Route) identity() identity { return byName(r.Name) }

// hostPrefix returns the host and prefix, which must be unique among routes.
func (r Route) hostPrefix() string { return r.Host + r.Prefix }

// Target chooses a service by weight from draw, a random 64-bit number. It
// returns "" if the weights have no positive total.
func (r *Route) Target(draw uint64) string {
	total := uint64(0)
	for _, target := range r.Targets {
		total += uint64(target.Weight)
	}
	if total == 0 {
		return ""
	}
	draw %= total
	for _, target := range r.Targets {
		if draw < uint64(target.Weight) {
			return target.Service
		}
		draw -= uint64(target.Weight)
	}
	return ""
}
