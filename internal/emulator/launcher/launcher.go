// Package launcher is the command line of the emulators and of the load generator.
package launcher

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/buckthorngap/buckthorngap/internal/invoker"
)

// Launcher parses the command line and runs one emulator until it is interrupted.
type Launcher struct {
	invocation invoker.Invocation
	app        *kingpin.Application
	commands   map[string]invoker.Command
}

// New returns a Launcher with the commands of all emulators.
func New(invocation invoker.Invocation) *Launcher {
	l := &Launcher{
		invocation: invocation,
		app:        kingpin.New("standin", "Emulates the platform, upstreams and callers."),
		commands:   map[string]invoker.Command{},
	}
	l.addEngine()
	l.addService()
	l.addPlatform()
	l.addWeights()
	l.addLoad()
	l.addNetwork()
	return l
}

// Run runs the emulator that the arguments name and returns the exit code.
func (l *Launcher) Run() int {
	return invoker.New(invoker.Config{
		Invocation:  l.invocation,
		Application: l.app,
		Commands:    l.commands,
	}).Run()
}
