package sharemeter

import (
	"context"

	"github.com/buckthorngap/buckthorngap/internal/prover"
	"github.com/buckthorngap/buckthorngap/internal/starter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// fixture is a site with a key and a model for each team. In the engines'
// journals, the model identifies the team of a request.
type fixture struct {
	site *starter.Site
	// secrets holds the secret of each team's key, by the team's name.
	secrets map[string]string
}

// prepare creates a model, a team and a key for each team of the load.
func prepare(ctx context.Context, site *starter.Site) (*fixture, error) {
	f := &fixture{
		site:    site,
		secrets: map[string]string{},
	}
	var models []string
	for _, t := range teams() {
		models = append(models, t.name)
	}
	if _, err := prover.NewFixture(ctx, site, prover.Setup{
		Models: models,
		Rate:   1,
		Burst:  1,
	}); err != nil {
		return nil, err
	}
	client, err := site.Operator(site.Instances[0])
	if err != nil {
		return nil, err
	}
	defer func() { _ = client.Close() }()
	for _, t := range teams() {
		if _, err := client.Act(ctx, "team-"+t.name, configurator.Operation{
			Action: configurator.ActionPut,
			Team: &configurator.Team{
				Name:  t.name,
				Rate:  t.rate,
				Burst: teamBurst,
			},
		}); err != nil {
			return nil, err
		}
		secret, _, err := client.CreateKey(ctx, "key-"+t.name, configurator.Key{
			Name: t.name,
			Team: t.name,
		})
		if err != nil {
			return nil, err
		}
		f.secrets[t.name] = secret
	}
	return f, nil
}

// caller returns a client that sends requests of a team to an instance.
func (f *fixture) caller(t team, instance *starter.Process) *prover.Caller {
	return &prover.Caller{
		Address: instance.Callers,
		Secret:  f.secrets[t.name],
	}
}
