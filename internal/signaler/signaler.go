// Package signaler receives the signals of a process from the initialization of the package on, which is before main. It imports
// little, so that it is initialized before most other packages. A signal that arrives sooner has its default effect.
package signaler

import (
	"os"
	"os/signal"
	"syscall"
)

var (
	terminations = receive(syscall.SIGINT, syscall.SIGTERM)
	reloads      = receive(syscall.SIGHUP)
)

// receive returns a channel that keeps one of the signals until it is read. It receives them for good: a process that shuts down
// must not be ended by a signal that it handled before.
func receive(signals ...os.Signal) <-chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, signals...)
	return received
}

// Terminations returns the channel of the signals that tell the process to stop. It has one reader.
func Terminations() <-chan os.Signal { return terminations }

// Reloads returns the channel of the signals that tell the process that its settings have changed. It has one reader.
func Reloads() <-chan os.Signal { return reloads }
