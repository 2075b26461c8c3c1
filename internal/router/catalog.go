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

// candidates returns the upstreams that have the checkpoint or run the service of a request, in the failure domains that it may
// go to; adapters and software versions are not considered.
func (c catalog) candidates(need *Need) []*upstream {
	all := c.engines[need.Checkpoint]
	if need.Checkpoint == "" {
		all = c.services[need.Service]
	}
	if !need.Bound {
		return all
	}
	var admitted []*upstream
	for _, u := range all {
		if need.Admits(*u.domain.Load()) {
			admitted = append(admitted, u)
		}
	}
	return admitted
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
