package commander

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/buckthorngap/buckthorngap/internal/operator"
)

// exportFileMode lets only the operator's own account read an exported file.
const exportFileMode = 0o600

// addConfigCommands adds the commands on the configuration as a whole: history, diff, export and import.
func (c *Commander) addConfigCommands() {
	config := c.app.Command("config", "Inspect, export and import the full configuration.")
	c.registerCall(config.Command("history", "List recent acts and all withdrawals, oldest first."),
		func(ctx context.Context, client *operator.Client) error {
			acts, err := client.History(ctx)
			if err != nil {
				return err
			}
			return c.printAll(len(acts), func(i int) any { return acts[i] })
		})
	c.addDiffCommand(config)
	c.addExportAndImport(config)
}

func (c *Commander) addDiffCommand(config *kingpin.CmdClause) {
	diff := config.Command("diff", "Compare two revisions, or an exported file with the current revision.")
	from := diff.Flag("from", "The older revision.").Uint64()
	to := diff.Flag("to", "The newer revision; 0 means the current one.").Uint64()
	archive := diff.Flag("file", "Exported file to compare with the current revision.").String()
	c.registerCall(diff, func(ctx context.Context, client *operator.Client) error {
		differences, err := client.Diff(ctx, *from, *to)
		if *archive != "" {
			file, readErr := os.ReadFile(*archive)
			if readErr != nil {
				return readErr
			}
			differences, err = client.DiffFile(ctx, file)
		}
		if err != nil {
			return err
		}
		return c.printAll(len(differences), func(i int) any { return differences[i] })
	})
}

// addExportAndImport adds the commands that write the full configuration to a file and read it back.
func (c *Commander) addExportAndImport(config *kingpin.CmdClause) {
	export := config.Command("export", "Write the full configuration to a file.")
	target := export.Arg("file", "File to write.").Required().String()
	c.registerCall(export, func(ctx context.Context, client *operator.Client) error {
		file, err := client.Export(ctx)
		if err != nil {
			return err
		}
		return os.WriteFile(*target, file, exportFileMode)
	})

	restore := config.Command("import", "Apply all withdrawals and records of an exported file.")
	source := restore.Arg("file", "File to read.").Required().String()
	c.registerCall(restore, func(ctx context.Context, client *operator.Client) error {
		file, err := os.ReadFile(*source)
		if err != nil {
			return err
		}
		receipt, err := client.Import(ctx, c.connection.identity(), file)
		return c.printReceipt(receipt, err)
	})
}

// addInspectionCommands adds the commands that show the state of instances.
func (c *Commander) addInspectionCommands() {
	c.registerCall(c.app.Command("instances", "List all instances with their state and revision."),
		func(ctx context.Context, client *operator.Client) error {
			instances, err := client.Instances(ctx)
			if err != nil {
				return err
			}
			return c.printAll(len(instances), func(i int) any { return instances[i] })
		})

	dump := c.app.Command("dump", "Print the state of one instance as JSON.")
	name := dump.Arg("instance", "Name of the instance; empty means the one that serves the call.").String()
	c.registerCall(dump, func(ctx context.Context, client *operator.Client) error {
		state, err := client.Dump(ctx, *name)
		if err != nil {
			return err
		}
		_, err = c.invocation.Output.Write(append(state, '\n'))
		return err
	})
}
