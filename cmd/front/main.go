// Front runs one instance of buckthorngap on the users' platform.
package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/buckthorngap/buckthorngap/internal/invoker"
	"github.com/buckthorngap/buckthorngap/internal/signaler"
	"github.com/buckthorngap/buckthorngap/platform"
)

func main() {
	invocation := invoker.Process()
	application := kingpin.New("front", "Runs one instance of buckthorngap on the users' platform.")
	os.Exit(invoker.New(invoker.Config{
		Invocation:  invocation,
		Application: application,
		Commands: map[string]invoker.Command{
			"": func(ctx context.Context) error { return platform.Run(ctx, invocation.Output, signaler.Reloads()) },
		},
		Terminations: signaler.Terminations(),
		Label:        "front: ",
	}).Run())
}
