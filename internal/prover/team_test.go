package prover_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/platformer"
	"github.com/buckthorngap/buckthorngap/internal/emulator/recorder"
	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
	"github.com/buckthorngap/buckthorngap/internal/operator"
	"github.com/buckthorngap/buckthorngap/internal/prover"
	"github.com/buckthorngap/buckthorngap/internal/starter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// TestRequestsRunOnlyForTheKeysTeam requests a model that is restricted to one
// team, with that team's key, another team's key, an invalid key and no key.
// Without a key, only the route that is open to all may answer.
func TestRequestsRunOnlyForTheKeysTeam(t *testing.T) {
	is := is.New(t)
	ctx, fixture := prepare(t, twoDomains(), prover.Setup{
		Models: []string{"ledger", "shared"},
	})
	site := fixture.Site
	client, err := site.Operator(site.Instances[0])
	is.NoErr(err)
	secret, hash := operator.NewSecret()
	_, err = client.Act(ctx, "rival", rivalOperations(hash)...)
	is.NoErr(err)
	is.NoErr(site.Control(ctx, platformer.PathPut, openServiceRows(site)))
	for _, instance := range site.Instances {
		own := fixture.Caller(instance)
		rival, wrong, none := *own, *own, *own
		rival.Secret, wrong.Secret, none.Secret = secret, "sk-wrong", ""
		complete := func(caller *prover.Caller, model string) prover.Answer {
			return caller.Complete(ctx, prover.CompletionRequest{
				Model:  model,
				Prompt: "hello",
				Tokens: 2,
			})
		}
		eventually(t, "the other team's key is known at "+instance.Name, func() bool { return complete(&rival, "shared").Complete })
		is.True(complete(own, "ledger").Complete)
		is.Equal(complete(&rival, "ledger").Outcome, "notrun")
		is.Equal(complete(&wrong, "ledger").Code, "invalid_key")
		is.Equal(complete(&none, "ledger").Code, "missing_key")
		is.Equal(none.Post(ctx, prover.Path+"returns", "", nil).Code, "missing_key")
		eventually(t, "the open route answers at "+instance.Name, func() bool {
			answer := none.Post(ctx, "/open/stock", "", nil)
			return answer.Complete
		})
	}
	// The restricted model ran exactly once for each request of its own team.
	ran := 0
	for _, engine := range site.Engines {
		var journal recorder.Journal[runner.Request]
		is.NoErr(site.Read(ctx, engine.Callers, "/control/journal", &journal))
		for _, request := range journal.Entries {
			if request.Checkpoint == prover.Checkpoint("ledger") {
				ran++
			}
		}
	}
	is.Equal(ran, len(site.Instances))
}

// openServiceRows returns rows for the platform's list that list each service process a second time, as service "open".
func openServiceRows(site *starter.Site) []storer.Instance {
	var rows []storer.Instance
	for _, service := range site.Services {
		rows = append(rows, storer.Instance{
			Name:    "open-" + service.Name,
			Domain:  service.Domain,
			Role:    storer.RoleService,
			Service: "open",
			Address: service.Callers,
		})
	}
	return rows
}

// rivalOperations returns the act that creates a second team with a key,
// restricts the model ledger and the plain service to the first team, and adds a
// route that needs no key.
func rivalOperations(hash string) []configurator.Operation {
	operations := []configurator.Operation{
		{
			Team: &configurator.Team{
				Name:  "boots",
				Rate:  1e6,
				Burst: 1e7,
			},
		},
		{
			Key: &configurator.Key{
				Name: "rival",
				Team: "boots",
				Hash: hash,
			},
		},
		{
			Model: &configurator.Model{
				Name:         "ledger",
				Teams:        []string{prover.Team},
				Version:      prover.VersionName,
				Replicas:     1,
				AdapterBytes: prover.AdapterBytes,
			},
		},
		{
			Service: &configurator.Service{
				Name: "open",
				Path: "/open/",
				Open: true,
			},
		},
		{
			Service: &configurator.Service{
				Name:  starter.ServiceName,
				Path:  prover.Path,
				Once:  []string{"POST"},
				Teams: []string{prover.Team},
			},
		},
	}
	for i := range operations {
		operations[i].Action = configurator.ActionPut
	}
	return operations
}
