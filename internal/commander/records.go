package commander

import (
	"context"

	"github.com/buckthorngap/buckthorngap/internal/operator"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

func (c *Commander) addTeam() {
	team := c.app.Command("team", "Teams with their rates.")
	create := team.Command("create", "Make or change a team.")
	name := create.Arg("name", "The team's name.").Required().String()
	rate := create.Flag("rate", "Tokens a second.").Required().Float64()
	burst := create.Flag("burst", "Tokens that may be saved up.").Required().Int64()
	charge := create.Flag("charge", "Tokens of a routed request that tells none.").Int64()
	priority := create.Flag("priority", "Rank of its requests, 0 first, before that of routes; -1 means that routes rank.").Default("-1").Int()
	c.put(create, configurator.ActionPut, func() configurator.Operation {
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
	removed := remove.Arg("name", "The team's name.").Required().String()
	c.put(remove, configurator.ActionRemove, func() configurator.Operation {
		return configurator.Operation{
			Team: &configurator.Team{
				Name: *removed,
			},
		}
	})
	c.list(team, configurator.KindTeam)
}

func (c *Commander) addKey() {
	key := c.app.Command("key", "Callers' keys.")
	create := key.Command("create", "Make a key; its secret is printed once and not kept.")
	name := create.Arg("name", "The key's name, never used twice.").Required().String()
	team := create.Flag("team", "The team that it opens requests for.").Required().String()
	batch := create.Flag("batch", "The batch that it belongs to.").String()
	c.call(create, func(ctx context.Context, client *operator.Client) error {
		secret, receipt, err := client.CreateKey(ctx, c.connect.identity(), configurator.Key{
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
	withdraw := key.Command("withdraw", "End a key for ever.")
	withdrawn := withdraw.Arg("name", "The key's name.").Required().String()
	c.withdraw(withdraw, configurator.SubjectKey, func() string { return *withdrawn })
	c.list(key, configurator.KindKey)
}

func (c *Commander) addModel() {
	model := c.app.Command("model", "Models.")
	create := model.Command("create", "Make or change a model.")
	name := create.Arg("name", "The model's name.").Required().String()
	// Kingpin sets no defaults beside a flag that is named "version".
	version := create.Flag("serving", "The version that serves requests; empty until one exists.").String()
	replicas := create.Flag("replicas", "The most copies in each failure domain.").Default("1").Int()
	adapters := create.Flag("adapter-bytes", "Memory beside each copy for adapters, in bytes.").Int64()
	ratio := create.Flag("bytes-per-token", "The least number of prompt bytes in a token.").Float64()
	teams := create.Flag("team", "A team that may use it; none means all; may be repeated.").Strings()
	c.put(create, configurator.ActionPut, func() configurator.Operation {
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
	c.list(model, configurator.KindModel)
}

func (c *Commander) addVersion() {
	version := c.app.Command("version", "Versions of models.")
	create := version.Command("create", "Make a version.")
	model := create.Arg("model", "The model's name.").Required().String()
	name := create.Arg("name", "The version's name, never used twice.").Required().String()
	checkpoint := create.Flag("checkpoint", "What engines load.").Required().String()
	size := create.Flag("bytes", "Memory of a copy, in bytes.").Required().Int64()
	batch := create.Flag("batch", "The batch that it belongs to.").String()
	c.put(create, configurator.ActionCreate, func() configurator.Operation {
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
	withdraw := version.Command("withdraw", "End a version for ever.")
	owner := withdraw.Arg("model", "The model's name.").Required().String()
	withdrawn := withdraw.Arg("name", "The version's name.").Required().String()
	c.withdraw(withdraw, configurator.SubjectVersion, func() string { return *owner + "/" + *withdrawn })
	c.list(version, configurator.KindVersion)
}

func (c *Commander) addAdapter() {
	adapter := c.app.Command("adapter", "Adapters of models.")
	create := adapter.Command("create", "Make or change an adapter.")
	name := create.Arg("name", "The adapter's name.").Required().String()
	model := create.Flag("model", "The model that it extends.").Required().String()
	size := create.Flag("bytes", "Memory beside a copy, in bytes.").Required().Int64()
	batch := create.Flag("batch", "The batch that it belongs to.").String()
	teams := create.Flag("team", "A team that may use it; none means all; may be repeated.").Strings()
	c.put(create, configurator.ActionPut, func() configurator.Operation {
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
	withdraw := adapter.Command("withdraw", "End an adapter for ever.")
	withdrawn := withdraw.Arg("name", "The adapter's name.").Required().String()
	c.withdraw(withdraw, configurator.SubjectAdapter, func() string { return *withdrawn })
	c.list(adapter, configurator.KindAdapter)
}

func (c *Commander) addBatch() {
	batch := c.app.Command("batch", "Batches of keys, versions and adapters.")
	create := batch.Command("create", "Make a batch.")
	name := create.Arg("name", "The batch's name, never used twice.").Required().String()
	detail := create.Flag("detail", "What it is.").String()
	c.put(create, configurator.ActionCreate, func() configurator.Operation {
		return configurator.Operation{
			Batch: &configurator.Batch{
				Name:   *name,
				Detail: *detail,
			},
		}
	})
	withdraw := batch.Command("withdraw", "End everything in a batch for ever, in one act.")
	withdrawn := withdraw.Arg("name", "The batch's name.").Required().String()
	c.withdraw(withdraw, configurator.SubjectBatch, func() string { return *withdrawn })
	c.list(batch, configurator.KindBatch)
}
