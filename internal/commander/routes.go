package commander

import (
	"maps"
	"slices"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// routeFlags are the flags of a route.
type routeFlags struct {
	route   configurator.Route
	targets map[string]string
}

func (c *Commander) addRoute() {
	route := c.app.Command("route", "Routes by host and path to services.")
	create := route.Command("create", "Make or change a route.")
	flags := &routeFlags{
		targets: map[string]string{},
	}
	flags.bind(create)
	c.put(create, configurator.ActionPut, flags.operation)
	remove := route.Command("remove", "Remove a route.")
	removed := remove.Arg("name", "The route's name.").Required().String()
	c.put(remove, configurator.ActionRemove, func() configurator.Operation {
		return configurator.Operation{
			Route: &configurator.Route{
				Name: *removed,
			},
		}
	})
	c.list(route, configurator.KindRoute)
}

func (f *routeFlags) bind(create *kingpin.CmdClause) {
	r := &f.route
	create.Arg("name", "The route's name.").Required().StringVar(&r.Name)
	create.Flag("prefix", `What paths begin with, as in "/crates/".`).Required().StringVar(&r.Prefix)
	create.Flag("host", "The host that requests name; none means any.").StringVar(&r.Host)
	create.Flag("to", `A service and its weight, as in "crates=9"; may be repeated.`).Required().StringMapVar(&f.targets)
	create.Flag("once", "Requests must not run twice.").BoolVar(&r.Once)
	create.Flag("stream", "Answers are streams of events.").BoolVar(&r.Stream)
	create.Flag("resumable", "A stream may go on at another upstream.").BoolVar(&r.Resumable)
	create.Flag("open", "Let callers without a key through.").BoolVar(&r.Open)
	create.Flag("bound", "How long a request may be kept waiting.").DurationVar(&r.Timeout)
	create.Flag("objective", "Within which an answer or its first event should come.").DurationVar(&r.Objective)
	create.Flag("gap", "The longest pause between events that is in time.").DurationVar(&r.Gap)
	create.Flag("patience", "How long callers wait for the first event.").DurationVar(&r.Patience)
	create.Flag("attempts", "The most upstreams that a request is sent to.").Default("1").IntVar(&r.Attempts)
	create.Flag("priority", "Rank of its requests, 0 first.").IntVar(&r.Priority)
	create.Flag("affinity", "Send prompts with a common beginning to the same upstreams.").BoolVar(&r.Affinity)
}

// operation puts the route. A weight that is no number is -1, which the
// configuration refuses.
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
