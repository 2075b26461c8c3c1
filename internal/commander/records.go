package commander

import (
	"context"

	"github.com/buckthorngap/buckthorngap/internal/operator"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

func (c *Commander) addTeamCommands() {
	team := c.app.Command("team", "Manage teams and their rates.")
	create := team.Command("create", "Create or replace a team.")
	name := create.Arg("name", "The team's name.").Required().String()
	rate := create.Flag("rate", "Sustained rate, in tokens per second.").Required().Float64()
	burst := create.Flag("burst", "Maximum burst, in tokens.").Required().Int64()
	charge := create.Flag("charge", "Tokens charged for a routed request that does not state a token count.").Int64()
	priority := create.Flag("priority", "Priority of the team's requests, 0 is highest; overrides that of routes; -1 means that the routes' priority applies.").Default("-1").Int()
	c.registerAct(create, configurator.ActionPut, func() configurator.Operation {
		return configurator.Operation{
			Team: &configurator.Team{
				Name:     *name,
				Rate:     *rate,
				Burst:    *burst,
				Charge:   *charge,
				Ranked:   *priority >= 0,
				Priority: max(0, *priority),
			},
		}
	})
	remove := team.Command("remove", "Remove a team without keys.")
	removedName := remove.Arg("name", "The team's name.").Required().String()
	c.registerAct(remove, configurator.ActionRemove, func() configurator.Operation {
		return configurator.Operation{
			Team: &configurator.Team{
				Name: *removedName,
			},
		}
	})
	c.registerList(team, configurator.KindTeam)
}

func (c *Commander) addKeyCommands() {
	key := c.app.Command("key", "Manage callers' keys.")
	create := key.Command("create", "Create a key; its secret is printed once and not stored.")
	name := create.Arg("name", "The key's name, which cannot be used again.").Required().String()
	team := create.Flag("team", "Team that requests with this key belong to.").Required().String()
	batch := create.Flag("batch", "Batch that it belongs to.").String()
	c.registerCall(create, func(ctx context.Context, client *operator.Client) error {
		secret, receipt, err := client.CreateKey(ctx, c.connection.identity(), configurator.Key{
			Name:  *name,
			Team:  *team,
			Batch: *batch,
		})
		if err != nil {
			return err
		}
		return c.print(createdKey{
			Secret:  secret,
			Receipt: receipt,
		})
	})
	withdraw := key.Command("withdraw", "Withdraw a key permanently.")
	withdrawnName := withdraw.Arg("name", "The key's name.").Required().String()
	c.registerWithdraw(withdraw, configurator.SubjectKey, func() string { return *withdrawnName })
	c.registerList(key, configurator.KindKey)
}

func (c *Commander) addModelCommands() {
	model := c.app.Command("model", "Manage models.")
	create := model.Command("create", "Create or replace a model.")
	name := create.Arg("name", "The model's name.").Required().String()
	// The flag is not named "version" because kingpin then sets no defaults for the other flags.
	version := create.Flag("serving", "Version that serves requests; empty until one exists.").String()
	replicas := create.Flag("replicas", "Maximum number of copies in each failure domain.").Default("1").Int()
	adapters := create.Flag("adapter-bytes", "Memory reserved for adapters beside each copy, in bytes.").Int64()
	ratio := create.Flag("bytes-per-token", "Minimum number of prompt bytes per token.").Float64()
	teams := create.Flag("team", "Team that may use it; none means all; may be repeated.").Strings()
	c.registerAct(create, configurator.ActionPut, func() configurator.Operation {
		return configurator.Operation{
			Model: &configurator.Model{
				Name:          *name,
				Version:       *version,
				Replicas:      *replicas,
				AdapterBytes:  *adapters,
				BytesPerToken: *ratio,
				Teams:         *teams,
			},
		}
	})
	c.registerList(model, configurator.KindModel)
}

func (c *Commander) addVersionCommands() {
	version := c.app.Command("version", "Manage versions of models.")
	create := version.Command("create", "Create a version.")
	model := create.Arg("model", "The model's name.").Required().String()
	name := create.Arg("name", "The version's name, which cannot be used again.").Required().String()
	checkpoint := create.Flag("checkpoint", "Checkpoint that engines load.").Required().String()
	size := create.Flag("bytes", "Memory that one copy needs, in bytes.").Required().Int64()
	batch := create.Flag("batch", "Batch that it belongs to.").String()
	c.registerAct(create, configurator.ActionCreate, func() configurator.Operation {
		return configurator.Operation{
			Version: &configurator.Version{
				Model:      *model,
				Name:       *name,
				Checkpoint: *checkpoint,
				Bytes:      *size,
				Batch:      *batch,
			},
		}
	})
	withdraw := version.Command("withdraw", "Withdraw a version permanently.")
	owner := withdraw.Arg("model", "The model's name.").Required().String()
	withdrawnName := withdraw.Arg("name", "The version's name.").Required().String()
	c.registerWithdraw(withdraw, configurator.SubjectVersion, func() string { return *owner + "/" + *withdrawnName })
	c.registerList(version, configurator.KindVersion)
}

func (c *Commander) addAdapterCommands() {
	adapter := c.app.Command("adapter", "Manage adapters of models.")
	create := adapter.Command("create", "Create or replace an adapter.")
	name := create.Arg("name", "The adapter's name.").Required().String()
	model := create.Flag("model", "Model that the adapter extends.").Required().String()
	size := create.Flag("bytes", "Memory that the adapter needs beside a copy of its model, in bytes.").Required().Int64()
	batch := create.Flag("batch", "Batch that it belongs to.").String()
	teams := create.Flag("team", "Team that may use it; none means all; may be repeated.").Strings()
	c.registerAct(create, configurator.ActionPut, func() configurator.Operation {
		return configurator.Operation{
			Adapter: &configurator.Adapter{
				Name:  *name,
				Model: *model,
				Bytes: *size,
				Batch: *batch,
				Teams: *teams,
			},
		}
	})
	withdraw := adapter.Command("withdraw", "Withdraw an adapter permanently.")
	withdrawnName := withdraw.Arg("name", "The adapter's name.").Required().String()
	c.registerWithdraw(withdraw, configurator.SubjectAdapter, func() string { return *withdrawnName })
	c.registerList(adapter, configurator.KindAdapter)
}

func (c *Commander) addBatchCommands() {
	batch := c.app.Command("batch", "Manage batches of keys, versions and adapters.")
	create := batch.Command("create", "Create a batch.")
	name := create.Arg("name", "The batch's name, which cannot be used again.").Required().String()
	detail := create.Flag("detail", "Free-form description.").String()
	c.registerAct(create, configurator.ActionCreate, func() configurator.Operation {
		return configurator.Operation{
			Batch: &configurator.Batch{
				Name:   *name,
				Detail: *detail,
			},
		}
	})
	withdraw := batch.Command("withdraw", "Withdraw everything in a batch permanently, in one act.")
	withdrawnName := withdraw.Arg("name", "The batch's name.").Required().String()
	c.registerWithdraw(withdraw, configurator.SubjectBatch, func() string { return *withdrawnName })
	c.registerList(batch, configurator.KindBatch)
}
