// Package commander implements the buckthorngap command line: it defines the commands with their flags, which run an
// instance, check settings or call a running instance as an operator.
package commander

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/buckthorngap/buckthorngap/internal/invoker"
)

// Commander holds all commands of the program and runs the one that the arguments select.
type Commander struct {
	invocation invoker.Invocation
	app        *kingpin.Application
	commands   map[string]invoker.Command
	connection connection
}

// New returns a Commander with all commands registered.
func New(invocation invoker.Invocation) *Commander {
	c := &Commander{
		invocation: invocation,
		app:        kingpin.New("buckthorngap", "Serve many rarely used language models."),
		commands:   map[string]invoker.Command{},
	}
	c.app.HelpFlag.Short('h')
	c.app.UsageWriter(invocation.Output)
	c.app.ErrorWriter(invocation.Errors)
	c.addProcessCommands()
	c.addOfflineCommands()
	c.addOperatorCommands()
	return c
}

// Run parses the arguments, runs the selected command and returns its exit code.
func (c *Commander) Run() int {
	return invoker.New(invoker.Config{
		Invocation:  c.invocation,
		Application: c.app,
		Commands:    c.commands,
		Label:       "buckthorngap: ",
	}).Run()
}

// register sets the function that runs a command, under the command's full name.
func (c *Commander) register(clause *kingpin.CmdClause, run invoker.Command) {
	c.commands[clause.FullCommand()] = run
}
