package server_test

import (
	"testing"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// configuration returns the configuration of a routed fixture.
// shortSecret is a key that other fields contain by chance.
const shortSecret = "1"

func (f *routedFixture) configuration(t testing.TB) *configurator.Snapshot {
	t.Helper()
	route := func(name string) configurator.Route {
		return configurator.Route{
			Name:   name,
			Host:   "depot.example",
			Prefix: "/" + name + "/",
			Targets: []configurator.Target{
				{
					Service: "desk",
					Weight:  1,
				},
			},
		}
	}
	once, open, short, brisk := route("once"), route("open"), route("short"), route("brisk")
	brisk.Objective = 400 * time.Millisecond
	brisk.Priority = 2
	hasty := route("hasty")
	hasty.Patience = 10 * time.Millisecond
	once.Once = true
	open.Open = true
	short.Timeout = 100 * time.Millisecond
	root := route("root")
	root.Host, root.Prefix, root.Open = "root.example", "/", true
	prompt := route("prompt")
	prompt.Open = true
	prompt.Targets[0].Service = "engines"
	split := route("split")
	split.Open, split.Stream, split.Resumable = true, true, true
	split.Targets = []configurator.Target{
		{
			Service: "engines",
			Weight:  1,
		},
		{
			Service: "others",
			Weight:  1,
		},
	}
	snapshot, err := configurator.Archive{
		Teams: []configurator.Team{
			{
				Name:   "crates",
				Charge: 200,
			},
		},
		Services: []configurator.Service{
			{
				Name: "desk",
			},
			{
				Name: "engines",
				Engine: &configurator.Engine{
					Models: []string{"ledger"},
				},
			},
			{
				Name: "others",
				Engine: &configurator.Engine{
					Models: []string{"ledger"},
				},
			},
		},
		Models: []configurator.Model{
			{
				Name:    "ledger",
				Version: "newest",
			},
		},
		Versions: []configurator.Version{
			{
				Model:      "ledger",
				Name:       "newest",
				Checkpoint: "ledger",
			},
		},
		Routes: []configurator.Route{once, open, short, brisk, hasty, prompt, split, root},
		Keys: []configurator.Key{
			{
				Name: "k",
				Team: "crates",
				Hash: hash(secret),
			},
			{
				Name: "short",
				Team: "crates",
				Hash: hash(shortSecret),
			},
		},
	}.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}
