// Package invoker parses a program's command line, runs the selected command until
// it is done or the process is signalled to stop, and converts the result into an
// exit code. All programs of the repository use it.
package invoker

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of a program.
const (
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means that the command returned an error without an exit code of its own.
	ExitFailed = 1
	// ExitUsage means that the command line could not be parsed.
	ExitUsage = 2
)

// Command runs one command until it is done or the context ends.
type Command func(ctx context.Context) error

// Config configures an Invoker.
type Config struct {
	// Invocation holds the arguments and output streams of the program.
	Invocation Invocation
	// Application parses the arguments.
	Application *kingpin.Application
	// Commands maps full command names to commands; a program without commands has
	// one entry with an empty name.
	Commands map[string]Command
	// Terminations receives a SIGINT or SIGTERM that arrived before Run; nil means that the process did not listen sooner.
	Terminations <-chan os.Signal
	// Label is prepended to each error message; may be empty.
	Label string
}

// Invoker runs the selected command of a program.
type Invoker struct {
	config Config
}

// New returns an Invoker. Commands and flags may be added to the application until Run.
func New(config Config) *Invoker {
	return &Invoker{
		config: config,
	}
}

// Run runs the selected command and returns its exit code. SIGINT and SIGTERM cancel
// the command's context. Errors are printed, not returned.
func (i *Invoker) Run() int {
	name, err := i.config.Application.Parse(i.config.Invocation.Arguments)
	if err != nil {
		i.printError(err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	select {
	case <-i.config.Terminations:
		stop()
	default:
	}
	if err := i.config.Commands[name](ctx); err != nil {
		i.printError(err)
		return exitCode(err)
	}
	return ExitDone
}

// exitCode returns the exit code of an error, ExitFailed unless the error has one of its own.
func exitCode(err error) int {
	var coded interface{ ExitCode() int }
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return ExitFailed
}

// printError prints an error with the label.
func (i *Invoker) printError(err error) {
	_, _ = fmt.Fprintln(i.config.Invocation.Errors, i.config.Label+err.Error())
}
