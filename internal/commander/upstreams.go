package commander

import "github.com/buckthorngap/buckthorngap/pkg/configurator"

func (c *Commander) addServiceCommands() {
	service := c.app.Command("service", "Manage plain services.")
	create := service.Command("create", "Create or replace a service.")
	name := create.Arg("name", "The service's name in the platform's list.").Required().String()
	path := create.Flag("path", `Path prefix that leads to the service, as in "/crates/"; empty if only routes do.`).String()
	connections := create.Flag("connections", "Maximum number of connections that each instance accepts from all callers; 0 means no limit.").Int()
	open := create.Flag("open", "Accept callers without a key.").Bool()
	once := create.Flag("once", "Method whose calls must run at most once; may be repeated.").Strings()
	teams := create.Flag("team", "Team that may call the service; none means all; may be repeated.").Strings()
	c.registerAct(create, configurator.ActionPut, func() configurator.Operation {
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
	remove := service.Command("remove", "Remove a service that is not the target of a route.")
	removedName := remove.Arg("name", "The service's name.").Required().String()
	c.registerAct(remove, configurator.ActionRemove, func() configurator.Operation {
		return configurator.Operation{
			Service: &configurator.Service{
				Name: *removedName,
			},
		}
	})
	c.registerList(service, configurator.KindService)
}

func (c *Commander) addUpstreamCommands() {
	upstream := c.app.Command("upstream", "Manage properties of upstreams that the platform's list does not contain.")
	create := upstream.Command("create", "Create or replace the properties of an upstream.")
	name := create.Arg("name", "The upstream's name in the platform's list.").Required().String()
	fencing := create.Flag("fencing", "The upstream rejects orders with an outdated fencing number.").Bool()
	size := create.Flag("bytes", "Accelerator memory of the upstream, in bytes.").Int64()
	c.registerAct(create, configurator.ActionPut, func() configurator.Operation {
		return configurator.Operation{
			Upstream: &configurator.Upstream{
				Name:    *name,
				Fencing: *fencing,
				Bytes:   *size,
			},
		}
	})
	c.registerList(upstream, configurator.KindUpstream)
}
