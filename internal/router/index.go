package router

// index holds the upstreams that may be chosen. It is never changed.
type index struct {
	engines  map[string][]*upstream
	services map[string][]*upstream
}

// candidates are the upstreams that hold what a request needs, adapters aside.
func (i *index) candidates(need *Need) []*upstream {
	if need.Checkpoint == "" {
		return i.services[need.Service]
	}
	return i.engines[need.Checkpoint]
}
