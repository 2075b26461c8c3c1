package commander

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/buckthorngap/buckthorngap/internal/operator"
	"github.com/buckthorngap/buckthorngap/internal/spreader"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// pageLength is the maximum number of records that one List call returns.
const pageLength = 500

// addOperatorCommands adds the commands that call an instance.
func (c *Commander) addOperatorCommands() {
	c.connection.addFlags(c.app)
	c.addTeamCommands()
	c.addKeyCommands()
	c.addModelCommands()
	c.addVersionCommands()
	c.addAdapterCommands()
	c.addBatchCommands()
	c.addServiceCommands()
	c.addUpstreamCommands()
	c.addRouteCommands()
	c.addConfigCommands()
	c.addInspectionCommands()
}

// registerCall registers a command that calls an instance; run gets a context with the command's timeout and a client.
func (c *Commander) registerCall(clause *kingpin.CmdClause, run func(ctx context.Context, client *operator.Client) error) {
	c.register(clause, func(ctx context.Context) error {
		ctx, client, closeClient, err := c.connection.dial(ctx)
		if err != nil {
			return err
		}
		defer closeClient()
		return run(ctx, client)
	})
}

// registerAct registers a command that carries out one act with a single operation: the given action on the record that
// the function builds from the parsed flags.
func (c *Commander) registerAct(clause *kingpin.CmdClause, action configurator.Action, record func() configurator.Operation) {
	c.registerCall(clause, func(ctx context.Context, client *operator.Client) error {
		operation := record()
		operation.Action = action
		receipt, err := client.Act(ctx, c.connection.identity(), operation)
		return c.printReceipt(receipt, err)
	})
}

// registerWithdraw registers a command that permanently withdraws a key, version, adapter or batch.
func (c *Commander) registerWithdraw(clause *kingpin.CmdClause, subject configurator.Subject, name func() string) {
	force := clause.Flag("force", "Also withdraw a name that the instance does not know.").Bool()
	c.registerCall(clause, func(ctx context.Context, client *operator.Client) error {
		receipt, err := client.Withdraw(ctx, *force, configurator.Withdrawal{
			Subject: subject,
			Name:    name(),
		})
		return c.printReceipt(receipt, err)
	})
}

// registerList registers the subcommand "list" of parent, which prints all records of one kind, page by page.
func (c *Commander) registerList(parent *kingpin.CmdClause, kind configurator.Kind) {
	c.registerCall(parent.Command("list", "List all records of this kind."), func(ctx context.Context, client *operator.Client) error {
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

// printReceipt prints the receipt of an act, or returns err. An act whose outcome is unknown is an error that contains the
// identity to repeat it with.
func (c *Commander) printReceipt(receipt spreader.Receipt, err error) error {
	if err != nil {
		return err
	}
	return c.print(receipt)
}
