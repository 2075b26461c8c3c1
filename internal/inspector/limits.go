package inspector

import (
	"fmt"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// checkServices finds engines that can't run their models for any request.
func (c *checker) checkServices() {
	models, sizes := map[string]configurator.Model{}, map[string]int64{}
	for _, model := range c.archive.Models {
		models[model.Name] = model
	}
	for _, version := range c.archive.Versions {
		if models[version.Model].Version == version.Name || models[version.Model].Version == "" {
			sizes[version.Model] = version.Bytes
		}
	}
	for _, service := range c.archive.Services {
		if service.Engine == nil {
			continue
		}
		c.checkEngine(service)
		c.checkSizes(service, sizes)
		c.checkLoads(service, models)
	}
}

// checkSizes finds models that are larger than an engine.
func (c *checker) checkSizes(service configurator.Service, sizes map[string]int64) {
	var tooLarge []string
	for _, model := range service.Engine.Models {
		if service.Engine.Bytes > 0 && sizes[model] > service.Engine.Bytes {
			tooLarge = append(tooLarge, model)
		}
	}
	if len(tooLarge) > 0 {
		c.contradiction(configurator.KindService, service.Name, "engine", fmt.Sprintf("model %s takes %d bytes, an engine holds %d%s",
			tooLarge[0], sizes[tooLarge[0]], service.Engine.Bytes, likewise(tooLarge)))
	}
}

// checkLoads finds models that load for longer than any request may wait.
func (c *checker) checkLoads(service configurator.Service, models map[string]configurator.Model) {
	limit, limited := c.longestTimeout(service.Name)
	var tooSlow []string
	for _, model := range service.Engine.Models {
		if limited && models[model].Load > limit {
			tooSlow = append(tooSlow, model)
		}
	}
	if len(tooSlow) > 0 {
		c.contradiction(configurator.KindService, service.Name, "engine", fmt.Sprintf(
			"model %s loads in %s, but no route to the service has a time limit above %s%s",
			tooSlow[0], models[tooSlow[0]].Load, limit, likewise(tooSlow)))
	}
}

// likewise counts the models besides the first.
func likewise(models []string) string {
	if len(models) == 1 {
		return ""
	}
	return fmt.Sprintf("; likewise %d more models", len(models)-1)
}

func (c *checker) checkEngine(service configurator.Service) {
	if len(service.Engine.Models) == 0 {
		c.unused(configurator.KindService, service.Name, "engine", "the engines have no model")
	}
	if service.Engine.Slots == 0 {
		c.contradiction(configurator.KindService, service.Name, "engine", "the engines have no slots, so they run no request")
	}
	if service.Connections > 0 && service.Connections < service.Engine.Slots {
		c.contradiction(configurator.KindService, service.Name, "connections",
			fmt.Sprintf("%d do not suffice for the %d slots of an engine", service.Connections, service.Engine.Slots))
	}
}

// longestTimeout returns the longest time limit of the routes to a service. It reports false if there is no such route
// or one has no limit. A single route may be shorter than a load: it serves what is loaded.
func (c *checker) longestTimeout(service string) (longest time.Duration, limited bool) {
	for _, route := range c.archive.Routes {
		for _, target := range route.Targets {
			if target.Service != service || target.Weight == 0 {
				continue
			}
			if route.Timeout == 0 {
				return 0, false
			}
			longest, limited = max(longest, route.Timeout), true
		}
	}
	return longest, limited
}

// checkTeams finds limits that refuse each request. The number of engines is not part of the configuration, so a
// burst is not compared with what all engines hold.
func (c *checker) checkTeams() {
	capacity := c.engineTokens()
	for _, team := range c.archive.Teams {
		cost, request := team.Charge, "a request that states no tokens"
		if team.Flat {
			cost, request = 1, "a request"
		}
		if !team.Unlimited && team.Burst < cost {
			c.contradiction(configurator.KindTeam, team.Name, "burst",
				fmt.Sprintf("%d is below the cost of %s, %d, so the team can make none", team.Burst, request, cost))
		}
		if !team.Flat && capacity > 0 && team.Charge > capacity {
			c.contradiction(configurator.KindTeam, team.Name, "charge",
				fmt.Sprintf("%d tokens for a request that states none are more than any engine holds, %d", team.Charge, capacity))
		}
	}
}

// engineTokens returns the largest memory of an engine for prompts and answers, or 0 if a service does not state it.
func (c *checker) engineTokens() int64 {
	largest := int64(0)
	for _, service := range c.archive.Services {
		if service.Engine == nil {
			continue
		}
		if service.Engine.Tokens == 0 {
			return 0
		}
		largest = max(largest, service.Engine.Tokens)
	}
	return largest
}
