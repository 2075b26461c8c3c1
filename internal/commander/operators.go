package commander

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/buckthorngap/buckthorngap/internal/operator"
	"github.com/buckthorngap/buckthorngap/internal/spreader"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// pageLength is the number of records that one call lists.
const pageLength = 500

// addOperators adds the commands that call an instance.
func (c *Commander) addOperators() {
	c.connect.addFlags(c.app)
	c.addTeam()
	c.addKey()
	c.addModel()
	c.addVersion()
	c.addAdapter()
	c.addBatch()
	c.addService()
	c.addUpstream()
	c.addRoute()
	c.addConfiguration()
	c.addInspection()
}

// call adds a command that calls an instance.
func (c *Commander) call(clause *kingpin.CmdClause, run func(ctx context.Context, client *operator.Client) error) {
	c.add(clause, func(ctx context.Context) error {
		ctx, client, end, err := c.connect.dial(ctx)
		if err != nil {
			return err
		}
		defer end()
		return run(ctx, client)
	})
}

// put adds a command that makes or replaces one record.
func (c *Commander) put(clause *kingpin.CmdClause, action configurator.Action, record func() configurator.Operation) {
	c.call(clause, func(ctx context.Context, client *operator.Client) error {
		operation := record()
		operation.Action = action
		receipt, err := client.Act(ctx, c.connect.identity(), operation)
		return c.printReceipt(receipt, err)
	})
}

// withdraw adds a command that ends a thing for ever.
func (c *Commander) withdraw(clause *kingpin.CmdClause, subject configurator.Subject, name func() string) {
	force := clause.Flag("force", "Withdraw also what the instance does not know.").Bool()
	c.call(clause, func(ctx context.Context, client *operator.Client) error {
		receipt, err := client.Withdraw(ctx, *force, configurator.Withdrawal{
			Subject: subject,
			Name:    name(),
		})
		return c.printReceipt(receipt, err)
	})
}

// list adds a command that lists the records of one kind.
func (c *Commander) list(parent *kingpin.CmdClause, kind configurator.Kind) {
	c.call(parent.Command("list", "List them."), func(ctx context.Context, client *operator.Client) error {
		for offset := 0; ; {
			page, err := client.List(ctx, kind, offset, pageLength)
			if err != nil {
				return err
			}
			for _, record := range page.Records {
				if err := c.printRecord(record); err != nil {
					return err
				}
			}
			offset += len(page.Records)
			if !page.More || len(page.Records) == 0 {
				return nil
			}
		}
	})
}

// printReceipt writes what an act reached. An act whose outcome is not known
// is an error, which names the identity to repeat it with.
func (c *Commander) printReceipt(receipt spreader.Receipt, err error) error {
	if err != nil {
		return err
	}
	return c.print(receipt)
}
