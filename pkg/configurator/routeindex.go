package configurator

import (
	"slices"
	"strings"
	"sync"
)

// routeIndex finds routes by host and path.
type routeIndex struct {
	routes *table[Route]
	once   sync.Once
	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]Route
}

func newRouteIndex(routes *table[Route]) *routeIndex {
	return &routeIndex{
		routes: routes,
	}
}

// get returns the route with the longest prefix of the path among those of the
// host, else among those of any host.
func (x *routeIndex) get(host, path string) (Route, bool) {
	x.once.Do(x.fill)
	if route, ok := longest(x.hosts[host], path); ok || host == "" {
		return route, ok
	}
	return longest(x.hosts[""], path)
}

func (x *routeIndex) fill() {
	x.hosts = map[string][]Route{}
	for route := range x.routes.all() {
		x.hosts[route.Host] = append(x.hosts[route.Host], route)
	}
	for _, routes := range x.hosts {
		slices.SortFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

func longest(routes []Route, path string) (Route, bool) {
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}
