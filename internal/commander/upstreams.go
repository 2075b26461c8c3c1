package commander

import "github.com/buckthorngap/buckthorngap/pkg/configurator"

func (c *Commander) addService() {
	service := c.app.Command("service", "Plain services.")
	create := service.Command("create", "Make or change a service.")
	name := create.Arg("name", "Its name in the platform's list.").Required().String()
	path := create.Flag("path", `The prefix of the paths that lead to it, as in "/crates/"; none if only routes do.`).String()
	connections := create.Flag("connections", "Connections that each instance takes from all callers; 0 means no bound.").Int()
	open := create.Flag("open", "Let callers without a key through.").Bool()
	once := create.Flag("once", "A method whose calls must not run twice; may be repeated.").Strings()
	teams := create.Flag("team", "A team that may call it; none means all; may be repeated.").Strings()
	c.put(create, configurator.ActionPut, func() configurator.Operation {
		return configurator.Operation{
			Service: &configurator.Service{
				Name:        *name,
				Path:        *path,
				Open:        *open,
				Once:        *once,
				Teams:       *teams,
				Connections: *connections,
			},
		}
	})
	remove := service.Command("remove", "Remove a service that no route leads to.")
	removed := remove.Arg("name", "Its name.").Required().String()
	c.put(remove, configurator.ActionRemove, func() configurator.Operation {
		return configurator.Operation{
			Service: &configurator.Service{
				Name: *removed,
			},
		}
	})
	c.list(service, configurator.KindService)
}

func (c *Commander) addUpstream() {
	upstream := c.app.Command("upstream", "What is known of upstreams beyond the platform's list.")
	create := upstream.Command("create", "Make or change the description of an upstream.")
	name := create.Arg("name", "Its name in the platform's list.").Required().String()
	fencing := create.Flag("fencing", "It refuses orders that carry an old fencing number.").Bool()
	size := create.Flag("bytes", "Its accelerator memory, in bytes.").Int64()
	c.put(create, configurator.ActionPut, func() configurator.Operation {
		return configurator.Operation{
			Upstream: &configurator.Upstream{
				Name:    *name,
				Fencing: *fencing,
				Bytes:   *size,
			},
		}
	})
	c.list(upstream, configurator.KindUpstream)
}
