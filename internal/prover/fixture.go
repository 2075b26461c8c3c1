package prover

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/operator"
	"github.com/buckthorngap/buckthorngap/internal/starter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// Names and sizes in the configuration that NewFixture creates.
const (
	// Team is the team that the key belongs to.
	Team = "crates"
	// Batch is the batch that the versions of all models belong to.
	Batch = "june"
	// VersionName is the name of each model's version.
	VersionName = "v1"
	// ModelBytes is the memory that a loaded copy takes without its adapters, in bytes.
	ModelBytes = 8 << 30
	// AdapterBytes is the memory reserved with each copy for adapters, in bytes.
	AdapterBytes = 1 << 30
	// Path is the path prefix that is routed to the plain service.
	Path = "/crates/"
)

// actTimeout is the maximum duration of NewFixture: of its act and of the wait until the act is in force.
const actTimeout = 15 * time.Second

// Fixture is a running site with a configuration in force.
type Fixture struct {
	// Site holds the site's processes.
	Site *starter.Site
	// Secret is the secret of the team's key, which is named "clerk".
	Secret string
}

// Setup describes the configuration that NewFixture creates.
type Setup struct {
	// Models are the names of the models; each gets one version.
	Models []string
	// Replicas is the maximum number of copies of each model in a failure domain; 0 means 1.
	Replicas int
	// Rate and Burst limit the team, in tokens per second and in tokens.
	Rate  float64
	Burst int64
}

// NewFixture creates a team with a key, models and the plain service in one act,
// and waits until every instance accepts the key. It returns the error of the
// act or of the wait.
func NewFixture(ctx context.Context, site *starter.Site, setup Setup) (*Fixture, error) {
	client, err := site.Operator(site.Instances[0])
	if err != nil {
		return nil, err
	}
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(ctx, actTimeout)
	defer cancel()
	secret, hash := operator.NewSecret()
	if _, err := client.Act(ctx, rand.Text(), operations(setup, hash)...); err != nil {
		return nil, err
	}
	fixture := &Fixture{
		Site:   site,
		Secret: secret,
	}
	return fixture, fixture.await(ctx, func(caller *Caller) bool {
		answer := caller.Complete(ctx, CompletionRequest{
			Model:  "absent",
			Prompt: "hello",
			Tokens: 1,
		})
		return answer.Code == "model_not_found"
	})
}

// await polls each instance in turn until the condition holds there. It
// returns the context's error if the context ends first.
func (f *Fixture) await(ctx context.Context, condition func(*Caller) bool) error {
	for _, instance := range f.Site.Instances {
		for !condition(f.Caller(instance)) {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

const pollInterval = 10 * time.Millisecond

// Caller returns a Caller that sends requests to the instance with the fixture's key.
func (f *Fixture) Caller(instance *starter.Process) *Caller {
	return &Caller{
		Address: instance.Callers,
		Secret:  f.Secret,
	}
}

// Checkpoint returns the checkpoint of a model's only version.
func Checkpoint(model string) string { return model + "-" + VersionName }

// operations returns the act that creates the team, its key, the plain
// service, which runs POST calls at most once, and the models.
func operations(setup Setup, hash string) []configurator.Operation {
	act := []configurator.Operation{
		{
			Team: &configurator.Team{
				Name:  Team,
				Rate:  setup.Rate,
				Burst: setup.Burst,
			},
		},
		{
			Batch: &configurator.Batch{
				Name: Batch,
			},
		},
		{
			Key: &configurator.Key{
				Name: "clerk",
				Team: Team,
				Hash: hash,
			},
		},
		{
			Service: &configurator.Service{
				Name: starter.ServiceName,
				Path: Path,
				Once: []string{"POST"},
			},
		},
	}
	for _, name := range setup.Models {
		act = append(act, modelOperations(name, setup.Replicas)...)
	}
	for i := range act {
		act[i].Action = configurator.ActionPut
	}
	return act
}

// modelOperations returns the operations that create a model and its version and
// then make the model serve that version.
func modelOperations(name string, replicas int) []configurator.Operation {
	model := configurator.Model{
		Name:         name,
		Replicas:     max(replicas, 1),
		AdapterBytes: AdapterBytes,
	}
	serving := model
	serving.Version = VersionName
	return []configurator.Operation{
		{
			Model: &model,
		},
		{
			Version: &configurator.Version{
				Model:      name,
				Name:       VersionName,
				Checkpoint: Checkpoint(name),
				Bytes:      ModelBytes,
				Batch:      Batch,
			},
		},
		{
			Model: &serving,
		},
	}
}
