package invoker_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"syscall"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/invoker"
)

// run invokes a program with two commands: "work" returns the given error, "wait"
// sends SIGTERM to the process and waits for the end of its context.
func run(line string, work error) (code int, output string) {
	app := kingpin.New("trial", "A trial.")
	app.Command("work", "Work.")
	app.Command("wait", "Wait for a signal.")
	var errorOutput strings.Builder
	code = invoker.New(invoker.Config{
		Invocation: invoker.Invocation{
			Arguments: strings.Fields(line),
			Output:    io.Discard,
			Errors:    &errorOutput,
		},
		Application: app,
		Commands: map[string]invoker.Command{
			"work": func(context.Context) error { return work },
			"wait": func(ctx context.Context) error {
				if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
					return err
				}
				<-ctx.Done()
				return nil
			},
		},
		Label: "trial: ",
	}).Run()
	return code, errorOutput.String()
}

// coded is an error with an exit code of its own.
type coded struct{}

func (*coded) Error() string { return "coded" }

func (*coded) ExitCode() int { return 7 }

func TestExitCodes(t *testing.T) {
	is := is.New(t)
	code, output := run("work", nil)
	is.Equal(code, invoker.ExitDone)
	is.Equal(output, "")
	code, output = run("work", errors.New("no work"))
	is.Equal(code, invoker.ExitFailed)
	is.Equal(output, "trial: no work\n")
	code, _ = run("work", &coded{})
	is.Equal(code, 7) // the error's own
	code, output = run("rest", nil)
	is.Equal(code, invoker.ExitUsage)
	is.True(strings.HasPrefix(output, "trial: "))
}

func TestSignalCancelsTheCommandsContext(t *testing.T) {
	is := is.New(t)
	code, _ := run("wait", nil)
	is.Equal(code, invoker.ExitDone)
}
