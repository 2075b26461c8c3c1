package commander

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/inspector"
	"github.com/buckthorngap/buckthorngap/internal/invoker"
)

// TestFlagDefaultsApplyToEveryCommand guards against flag names for which kingpin skips the defaults of all flags: it
// checks that --timeout has its default when a command is given with its own flags.
func TestFlagDefaultsApplyToEveryCommand(t *testing.T) {
	for _, line := range []string{
		"team create crates --rate 1 --burst 2",
		"model create ledger --serving v1",
		"version create ledger v1 --checkpoint c --bytes 1",
		"key create clerk --team crates --batch june",
		"adapter create n --model ledger --bytes 1",
		"config diff --from 1 --to 2",
		"dump a1",
	} {
		is := is.New(t)
		c := New(invoker.Invocation{
			Arguments: strings.Fields(line),
			Output:    &strings.Builder{},
			Errors:    &strings.Builder{},
		})
		name, err := c.app.Parse(c.invocation.Arguments)
		is.NoErr(err)
		is.True(c.commands[name] != nil)
		is.True(*c.connection.timeout > 0)
	}
}

func TestCheckReportsMissingSettingsFile(t *testing.T) {
	is := is.New(t)
	var errors strings.Builder
	c := New(invoker.Invocation{
		Arguments: []string{"check", "--settings", "absent.json"},
		Output:    &strings.Builder{},
		Errors:    &errors,
	})
	is.Equal(c.Run(), invoker.ExitFailed)
	is.True(strings.Contains(errors.String(), "absent.json"))
}

func TestCheckTakesOneFile(t *testing.T) {
	for line, want := range map[string]int{
		"check":                               invoker.ExitUsage,
		"check absent.json --settings other":  invoker.ExitUsage,
		"check absent.json":                   inspector.ExitUnreadable,
		"check absent.json --against other":   inspector.ExitUnreadable,
		"check --settings absent.json --json": invoker.ExitFailed,
	} {
		is := is.New(t)
		c := New(invoker.Invocation{
			Arguments: strings.Fields(line),
			Output:    &strings.Builder{},
			Errors:    &strings.Builder{},
		})
		is.Equal(c.Run(), want)
	}
}
