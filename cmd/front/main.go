// Front runs one instance of buckthorngap on the users' platform, or checks a configuration before it is sent there.
package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/buckthorngap/buckthorngap/internal/inspector"
	"github.com/buckthorngap/buckthorngap/internal/invoker"
	"github.com/buckthorngap/buckthorngap/internal/signaler"
	"github.com/buckthorngap/buckthorngap/platform"
)

func main() {
	invocation := invoker.Process()
	application := kingpin.New("front", "Runs one instance of buckthorngap on the users' platform.")
	run := application.Command("run", "Run the instance.").Default()
	clause := application.Command("check", "Check a configuration before it is sent.")
	check := inspector.NewCommand(clause, inspector.New(inspector.Config{
		Decode:         platform.DecodeArchive,
		StatesAttempts: true,
		Fields:         platform.ConfigurationFields(),
	}), invocation.Output)
	os.Exit(invoker.New(invoker.Config{
		Invocation:  invocation,
		Application: application,
		Commands: map[string]invoker.Command{
			run.FullCommand():    func(ctx context.Context) error { return platform.Run(ctx, invocation.Output, signaler.Reloads()) },
			clause.FullCommand(): check.Run,
		},
		Terminations: signaler.Terminations(),
		Label:        "front: ",
	}).Run())
}
