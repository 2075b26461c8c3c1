package configurator

import (
	"slices"
	"strings"
	"sync"
)

// routeIndex looks up routes by host and path. It is built at the first lookup.
type routeIndex struct {
	routes *table[Route]
	once   sync.Once
	// byHost holds the routes of each host, longest prefix first.
	byHost map[string][]Route
}

// newRouteIndex returns an index over routes that is not built yet.
func newRouteIndex(routes *table[Route]) *routeIndex {
	return &routeIndex{
		routes: routes,
	}
}

// get returns the route with the longest matching prefix among those of the host,
// or else among those without a host.
func (x *routeIndex) get(host, path string) (Route, bool) {
	x.once.Do(x.build)
	if route, ok := firstMatch(x.byHost[host], path); ok || host == "" {
		return route, ok
	}
	return firstMatch(x.byHost[""], path)
}

// build groups all routes by host.
func (x *routeIndex) build() {
	x.byHost = map[string][]Route{}
	for route := range x.routes.all() {
		x.byHost[route.Host] = append(x.byHost[route.Host], route)
	}
	for _, routes := range x.byHost {
		slices.SortFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// firstMatch returns the first route whose prefix matches the path. The routes
// are sorted so that this is the longest match.
func firstMatch(routes []Route, path string) (Route, bool) {
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}
