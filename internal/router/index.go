package router

// index holds the upstreams that accept new requests, engines by ready checkpoint
// and instances of services by service. It is immutable; a change builds a new one.
type index struct {
	engines  map[string][]*upstream
	services map[string][]*upstream
}

// candidates returns the upstreams that have the checkpoint or run the service of
// a request; adapters are not considered.
func (i *index) candidates(need *Need) []*upstream {
	if need.Checkpoint == "" {
		return i.services[need.Service]
	}
	return i.engines[need.Checkpoint]
}
