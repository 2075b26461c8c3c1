package resumer

import "time"

// State is the state of a Resumer in a dump.
type State struct {
	// Services holds the versions of each service.
	Services map[string]ServiceState `json:"services"`
	// Streams is the number of streams whose version is known.
	Streams int `json:"streams"`
	// Confirmed is when the store last confirmed the versions.
	Confirmed time.Time `json:"confirmed"`
}

// ServiceState are the versions of one service.
type ServiceState struct {
	// Listed are the versions that may have begun a stream, and Active those at which new streams may begin.
	Listed []string `json:"listed"`
	Active []string `json:"active"`
	// Serving are the versions of the engines that serve.
	Serving []string `json:"serving"`
}

// Dump returns the state for operators.
func (r *Resumer) Dump() any {
	now := r.config.Now()
	r.mu.Lock()
	state := State{
		Services:  map[string]ServiceState{},
		Streams:   len(r.records.current) + len(r.records.former),
		Confirmed: r.config.Confirmed(),
	}
	for name, s := range r.services {
		state.Services[name] = ServiceState{
			Listed: s.list.Versions,
			Active: s.active(now),
		}
	}
	r.mu.Unlock()
	for name, service := range state.Services {
		service.Serving = r.serving(name)
		state.Services[name] = service
	}
	return state
}
