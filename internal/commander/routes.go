package commander

import (
	"maps"
	"slices"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// routeFlags holds the flags of "route create"; targets maps the names of services to their weights as given.
type routeFlags struct {
	route   configurator.Route
	targets map[string]string
}

func (c *Commander) addRouteCommands() {
	route := c.app.Command("route", "Manage routes from hosts and paths to services.")
	create := route.Command("create", "Create or replace a route.")
	flags := &routeFlags{
		targets: map[string]string{},
	}
	flags.bind(create)
	c.registerAct(create, configurator.ActionPut, flags.operation)
	remove := route.Command("remove", "Remove a route.")
	removedName := remove.Arg("name", "The route's name.").Required().String()
	c.registerAct(remove, configurator.ActionRemove, func() configurator.Operation {
		return configurator.Operation{
			Route: &configurator.Route{
				Name: *removedName,
			},
		}
	})
	c.registerList(route, configurator.KindRoute)
}

// bind defines the arguments and flags on the command.
func (f *routeFlags) bind(create *kingpin.CmdClause) {
	r := &f.route
	create.Arg("name", "The route's name.").Required().StringVar(&r.Name)
	create.Flag("prefix", `Path prefix that requests match, as in "/crates/".`).Required().StringVar(&r.Prefix)
	create.Flag("host", "Host that requests match; empty means any.").StringVar(&r.Host)
	create.Flag("to", `Target service and its weight, as in "crates=9"; may be repeated.`).Required().StringMapVar(&f.targets)
	create.Flag("once", "Run each request at most once.").BoolVar(&r.Once)
	create.Flag("stream", "Responses are streams of events.").BoolVar(&r.Stream)
	create.Flag("resumable", "A stream may resume on another upstream.").BoolVar(&r.Resumable)
	create.Flag("open", "Accept callers without a key.").BoolVar(&r.Open)
	create.Flag("bound", "Maximum time that a request is kept waiting; 0 means no limit.").DurationVar(&r.Timeout)
	create.Flag("objective", "Target time to the response or its first event.").DurationVar(&r.Objective)
	create.Flag("gap", "Longest gap between events that counts as in time.").DurationVar(&r.Gap)
	create.Flag("patience", "Time after which callers give up waiting for the first event; 0 means their deadline.").DurationVar(&r.Patience)
	create.Flag("attempts", "Maximum number of upstreams that a request is sent to.").Default("1").IntVar(&r.Attempts)
	create.Flag("priority", "Priority of its requests, 0 is highest.").IntVar(&r.Priority)
	create.Flag("affinity", "Send prompts with a common prefix to the same upstreams.").BoolVar(&r.Affinity)
}

// operation builds the route from the parsed flags, with its targets sorted by name. A weight that is not a number becomes
// -1, which the configuration's validation refuses.
func (f *routeFlags) operation() configurator.Operation {
	route := f.route
	for _, service := range slices.Sorted(maps.Keys(f.targets)) {
		weight, err := strconv.Atoi(f.targets[service])
		if err != nil {
			weight = -1
		}
		route.Targets = append(route.Targets, configurator.Target{
			Service: service,
			Weight:  weight,
		})
	}
	return configurator.Operation{
		Route: &route,
	}
}
