package inspector

import (
	"net"
	"strings"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// checker collects the findings on one configuration.
type checker struct {
	archive        configurator.Archive
	statesAttempts bool
	findings       []Finding
}

func (c *checker) unused(kind configurator.Kind, name, field, text string) {
	c.add(ClassUnused, kind, name, field, text)
}

func (c *checker) contradiction(kind configurator.Kind, name, field, text string) {
	c.add(ClassContradiction, kind, name, field, text)
}

func (c *checker) add(class string, kind configurator.Kind, name, field, text string) {
	c.findings = append(c.findings, Finding{
		Class: class,
		Kind:  kind,
		Name:  name,
		Field: field,
		Text:  text,
	})
}

// checkRepetitions finds records of the same name, of which the running program keeps one or none.
func (c *checker) checkRepetitions() {
	repeated := func(kind configurator.Kind, seen map[string]bool, id, name string) {
		if seen[id] {
			c.unused(kind, name, "", "is listed twice; at most one entry counts")
		}
		seen[id] = true
	}
	teams, keys, services, routes := map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, team := range c.archive.Teams {
		repeated(configurator.KindTeam, teams, team.Name, team.Name)
	}
	for _, key := range c.archive.Keys {
		repeated(configurator.KindKey, keys, key.Hash, key.Name+" of team "+key.Team)
	}
	for _, service := range c.archive.Services {
		repeated(configurator.KindService, services, service.Name, service.Name)
	}
	for _, route := range c.archive.Routes {
		repeated(configurator.KindRoute, routes, route.Name, route.Name)
	}
}

// checkUse finds teams without a key and services that no request reaches.
func (c *checker) checkUse() {
	keyed, named := map[string]bool{}, map[string]bool{}
	for _, key := range c.archive.Keys {
		keyed[key.Team] = true
	}
	for _, route := range c.archive.Routes {
		for _, target := range route.Targets {
			named[target.Service] = true
		}
	}
	for _, team := range c.archive.Teams {
		if !keyed[team.Name] {
			c.unused(configurator.KindTeam, team.Name, "", "has no key, so no request is admitted as its own")
		}
	}
	for _, service := range c.archive.Services {
		if service.Path == "" && !named[service.Name] {
			c.unused(configurator.KindService, service.Name, "", "no route names it")
		}
	}
}

func (c *checker) checkRoutes() {
	for _, route := range c.archive.Routes {
		c.checkMatch(route)
		c.checkTimes(route)
		if c.statesAttempts && route.Attempts == 0 {
			c.contradiction(configurator.KindRoute, route.Name, "attempts", "is zero, but each request is sent at least once")
		}
	}
}

// checkMatch finds parts of a route that no request reaches. Hosts are compared without their port and paths without
// their query.
func (c *checker) checkMatch(route configurator.Route) {
	if _, _, err := net.SplitHostPort(route.Host); err == nil {
		c.unused(configurator.KindRoute, route.Name, "host", "has a port, so no request matches")
	}
	if strings.Contains(route.Prefix, "?") {
		c.unused(configurator.KindRoute, route.Name, "prefix", "has a question mark, so no request matches")
	}
	for _, target := range route.Targets {
		if target.Weight == 0 {
			c.unused(configurator.KindRoute, route.Name, "targets", "service "+target.Service+" has weight 0 and gets no request")
		}
	}
}

// checkTimes finds objectives that only requests beyond the time limit could miss.
func (c *checker) checkTimes(route configurator.Route) {
	if route.Timeout == 0 {
		return
	}
	c.checkObjective(route, "objective", route.Objective)
	c.checkObjective(route, "gap", route.Gap)
}

func (c *checker) checkObjective(route configurator.Route, field string, objective time.Duration) {
	if objective > route.Timeout {
		c.contradiction(configurator.KindRoute, route.Name, field,
			objective.String()+" is longer than the time limit of "+route.Timeout.String())
	}
}
