package configurator

import "strings"

// putRoute creates or replaces a route and updates the index of hosts and
// prefixes, which must be unique among routes.
func (a *applier) putRoute(route Route, create bool) error {
	route.Host = strings.ToLower(route.Host)
	old, exists := a.routes.table.get(route.identity())
	if err := putRecord(a.routes, KindRoute, route.Name, route, create, a.checkRoute); err != nil {
		return err
	}
	if exists {
		delete(a.routesByHostPrefix(), old.hostPrefix())
	}
	a.routesByHostPrefix()[route.hostPrefix()] = route.Name
	return nil
}

// routesByHostPrefix returns the names of the routes by host and prefix. It
// builds the map at the first call.
func (a *applier) routesByHostPrefix() map[string]string {
	if a.routeNames == nil {
		a.routeNames = map[string]string{}
		for route := range a.routes.table.all() {
			a.routeNames[route.hostPrefix()] = route.Name
		}
	}
	return a.routeNames
}

// checkRoute validates a route's fields and requires its host and prefix to be
// unique.
func (a *applier) checkRoute(route Route) error {
	if err := checkName(KindRoute, route.Name); err != nil {
		return err
	}
	invalidField := func(field, reason string) error { return invalid(KindRoute, route.Name, field, reason) }
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return invalidField("prefix", "must begin and end with a slash")
	}
	if other, ok := a.routesByHostPrefix()[route.hostPrefix()]; ok && other != route.Name {
		return invalidField("prefix", "belongs to route "+other)
	}
	if route.Timeout < 0 || route.Objective < 0 || route.Gap < 0 || route.Patience < 0 {
		return invalidField("timeout", "and the objectives must be zero or more")
	}
	if route.Attempts < 0 || route.Priority < 0 {
		return invalidField("attempts", "and the priority must be zero or more")
	}
	return a.checkTargets(route)
}

// checkTargets requires the services of a route to exist and their weights to
// have a positive total.
func (a *applier) checkTargets(route Route) error {
	total := 0
	for _, target := range route.Targets {
		if !a.services.table.has(byName(target.Service)) {
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
