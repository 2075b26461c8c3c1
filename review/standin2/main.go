// Standin2 plays the cases of a review: it starts the project's program on loopback addresses, between stand-ins of the platform's
// store, of engines and of consumers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// trouble reports whether the case's disruption takes place.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	cases := map[string]func(record *Record) bool{
		"refusal": refusalCase,
		"drain":   drainCase,
		"memory":  memoryCase,
		"limit":   limitCase,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		fail(fmt.Errorf("ended by signal %v", <-signals))
	}()
	record := newRecord(filepath.Join(os.Args[2], "record.txt"))
	held := cases[os.Args[1]](record)
	stopAll()
	if !held {
		os.Exit(1)
	}
}
