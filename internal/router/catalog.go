package router

// catalog holds upstreams, engines by ready checkpoint and instances of services by service.
type catalog struct {
	engines  map[string][]*upstream
	services map[string][]*upstream
}

func newCatalog() catalog {
	return catalog{
		engines:  map[string][]*upstream{},
		services: map[string][]*upstream{},
	}
}

// candidates returns the upstreams that have the checkpoint or run the service of
// a request; adapters are not considered.
func (c catalog) candidates(need *Need) []*upstream {
	if need.Checkpoint == "" {
		return c.services[need.Service]
	}
	return c.engines[need.Checkpoint]
}

// add adds an upstream.
func (c catalog) add(u *upstream) {
	if service := *u.service.Load(); service != "" {
		c.services[service] = append(c.services[service], u)
	}
	if !u.engine.Load() {
		return
	}
	for checkpoint := range u.snapshot.Load().ready {
		c.engines[checkpoint] = append(c.engines[checkpoint], u)
	}
}
