package configurator

import "strings"

// putRoute writes a route, whose host and prefix no other route may have.
func (a *applier) putRoute(route Route, create bool) error {
	route.Host = strings.ToLower(route.Host)
	old, known := a.routes.table.get(route.identity())
	if err := putRecord(a.routes, KindRoute, route.Name, route, create, a.checkRoute); err != nil {
		return err
	}
	if known {
		delete(a.taken(), old.address())
	}
	a.taken()[route.address()] = route.Name
	return nil
}

// taken are the names of the routes by their addresses.
func (a *applier) taken() map[string]string {
	if a.addresses == nil {
		a.addresses = map[string]string{}
		for route := range a.routes.table.all() {
			a.addresses[route.address()] = route.Name
		}
	}
	return a.addresses
}

func (a *applier) checkRoute(route Route) error {
	if err := checkName(KindRoute, route.Name); err != nil {
		return err
	}
	wrong := func(field, reason string) error { return invalid(KindRoute, route.Name, field, reason) }
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return wrong("prefix", "must begin and end with a slash")
	}
	if other, ok := a.taken()[route.address()]; ok && other != route.Name {
		return wrong("prefix", "belongs to route "+other)
	}
	if route.Timeout < 0 || route.Objective < 0 || route.Gap < 0 || route.Patience < 0 {
		return wrong("timeout", "and the objectives must be zero or more")
	}
	if route.Attempts < 0 || route.Priority < 0 {
		return wrong("attempts", "and the priority must be zero or more")
	}
	return a.checkTargets(route)
}

func (a *applier) checkTargets(route Route) error {
	total := 0
	for _, target := range route.Targets {
		if !a.services.table.has(named(target.Service)) {
			return notFound(KindService, target.Service)
		}
		if target.Weight < 0 {
			return invalid(KindRoute, route.Name, "targets", "must have weights of zero or more")
		}
		total += target.Weight
	}
	if total == 0 {
		return invalid(KindRoute, route.Name, "targets", "must name a service with a weight")
	}
	return nil
}
