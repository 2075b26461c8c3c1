package commander

import (
	"context"

	"github.com/buckthorngap/buckthorngap/internal/app"
	"github.com/buckthorngap/buckthorngap/internal/parser"
)

// addProcessCommands adds the commands that run a server until they are interrupted.
func (c *Commander) addProcessCommands() {
	entry := c.app.Command("entry", "Run one entry instance.")
	file := entry.Flag("settings", "Settings file, in JSON with comments.").Required().String()
	c.register(entry, func(ctx context.Context) error {
		settings, err := parser.Load(*file)
		if err != nil {
			return err
		}
		instance, err := app.New(app.Config{
			Settings: settings,
			Log:      c.invocation.Errors,
		})
		if err != nil {
			return err
		}
		return instance.Run(ctx)
	})

	local := c.app.Command("local", "Run a complete demo in one process: platform, engines, a service and one instance.")
	limit := local.Flag("limit", "Requests per second that the plain service states as its limit; negative for none.").Default("-1").Float64()
	deadly := local.Flag("deadly", "Text of prompts under which engines crash as they begin to answer, and of bodies under which the service does.").String()
	stuck := local.Flag("stuck", "Time after which the platform no longer answers on the connections used until then; 0 for never.").Default("0s").Duration()
	restore := local.Flag("restore", "Time after which the platform's store is restored from a copy half as old, again and again; 0 for never.").Default("0s").Duration()
	c.register(local, func(ctx context.Context) error {
		return app.RunLocal(ctx, app.LocalConfig{
			Output:          c.invocation.Output,
			Log:             c.invocation.Errors,
			ServiceLimit:    *limit,
			DeadlyText:      *deadly,
			StuckAfter:      *stuck,
			RestoreInterval: *restore,
		})
	})
}
