package app

import (
	"context"
	"fmt"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/operator"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// The names and sizes of the demo configuration.
const (
	localDomain       = "local"
	demoTeam          = "crates"
	demoModel         = "ledger"
	demoVersion       = "v1"
	demoModelBytes    = 8 << 30
	demoAdapterMemory = 1 << 30
	demoAdapterBytes  = 64 << 20
	demoRate          = 2000
	demoBurst         = 20_000
	demoReplicas      = 2
)

// runDemo applies the demo configuration once the instance is ready, and prints the
// addresses that it listens on and a curl command with a valid key.
func (s *localSite) runDemo(ctx context.Context, instance *Instance) error {
	if !waiter.Poll(ctx, readyPoll, instance.ready) {
		return nil
	}
	secret, hash := operator.NewSecret()
	receipt, err := instance.spreader.Act(ctx, configurator.Change{
		ID:         "demo",
		Operator:   "local",
		At:         time.Now(),
		Operations: demoOperations(hash),
	})
	if err != nil {
		return err
	}
	settings := instance.settings
	_, err = fmt.Fprintf(s.output, "callers=http://%s admin=http://%s platform=http://%s revision=%d\n"+
		"curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":16,\"messages\":[{\"role\":\"user\",\"content\":\"Where are the crates?\"}]}'\n",
		settings.Callers.Listen, settings.Admin.Listen, s.platform, receipt.Revision,
		settings.Callers.Listen, secret, demoModel)
	return err
}

// demoOperations returns the operations that create the demo team with a key of the given hash,
// a plain service, two models and an adapter.
func demoOperations(hash string) []configurator.Operation {
	operations := []configurator.Operation{
		{
			Team: &configurator.Team{
				Name:  demoTeam,
				Rate:  demoRate,
				Burst: demoBurst,
			},
		},
		{
			Key: &configurator.Key{
				Name: "demo",
				Team: demoTeam,
				Hash: hash,
			},
		},
		{
			Service: &configurator.Service{
				Name: "crates",
				Path: "/crates/",
				Once: []string{"POST"},
			},
		},
	}
	for _, model := range []string{demoModel, "router"} {
		operations = append(operations, demoModelOperations(model)...)
	}
	operations = append(operations, configurator.Operation{
		Adapter: &configurator.Adapter{
			Name:  "ledger-nairobi",
			Model: demoModel,
			Bytes: demoAdapterBytes,
		},
	})
	for k := range operations {
		operations[k].Action = configurator.ActionPut
	}
	return operations
}

// demoModelOperations returns the operations that create a model with one version. The model is
// put twice, since a version requires its model to exist, and a model may only name a version
// that exists.
func demoModelOperations(name string) []configurator.Operation {
	model := configurator.Model{
		Name:         name,
		Replicas:     demoReplicas,
		AdapterBytes: demoAdapterMemory,
	}
	serving := model
	serving.Version = demoVersion
	return []configurator.Operation{
		{
			Model: &model,
		},
		{
			Version: &configurator.Version{
				Model:      name,
				Name:       demoVersion,
				Checkpoint: name + "-" + demoVersion,
				Bytes:      demoModelBytes,
			},
		},
		{
			Model: &serving,
		},
	}
}
