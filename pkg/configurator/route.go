package configurator

import "time"

// Route leads requests of a host whose path begins with a prefix to services.
type Route struct {
	// Name is unique.
	Name string `json:"name"`
	// Host is the host that requests name, in lower case and without port;
	// empty means any.
	Host string `json:"host,omitempty"`
	// Prefix is what paths begin with. It begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Targets are the services that its requests are divided over.
	Targets []Target `json:"targets"`
	// Once is set if a request must not run twice.
	Once bool `json:"once,omitempty"`
	// Stream is set if answers are streams of events.
	Stream bool `json:"stream,omitempty"`
	// Resumable is set if a stream may go on at another upstream.
	Resumable bool `json:"resumable,omitempty"`
	// Open lets callers without a key through.
	Open bool `json:"open,omitempty"`
	// Timeout is how long a request may be kept waiting; zero means no bound.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Objective is the time within which an answer, or its first event, should come.
	Objective time.Duration `json:"objective,omitempty"`
	// Gap is the longest pause between events that is still in time.
	Gap time.Duration `json:"gap,omitempty"`
	// Patience is how long callers wait for the first event of a stream before
	// they leave; zero means until their deadline.
	Patience time.Duration `json:"patience,omitempty"`
	// Attempts is the largest number of upstreams that a request is sent to;
	// zero means one.
	Attempts int `json:"attempts,omitempty"`
	// Priority is the rank of its requests; 0 goes first.
	Priority int `json:"priority,omitempty"`
	// Affinity sends requests with a common beginning of their prompts to the
	// same upstreams.
	Affinity bool `json:"affinity,omitempty"`
}

// Target is one of the services of a route.
type Target struct {
	// Service is the service's name.
	Service string `json:"service"`
	// Weight is its part of the requests, relative to the other targets.
	Weight int `json:"weight"`
}

func (r Route) identity() identity { return named(r.Name) }

// address is what no two routes share.
func (r Route) address() string { return r.Host + r.Prefix }

// Target returns the service that a draw, a number of 64 random bits, falls on.
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
