// Standin plays the cases of the review against the real program: it holds a stand-in for the platform's store, engines,
// clients and the supervisor that starts and signals the instances. Everything listens on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of the cases to the functions that play them. A function returns whether the rule was broken.
var cases = map[string]func(*site) (bool, error){}

func main() { os.Exit(run()) }

// run plays the case that the command line names. Its record is written to record.txt in the working folder.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM")
		return exitNotRun
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if _, err := os.Stat(program); err != nil {
		fmt.Fprintln(os.Stderr, "the program is not built:", err)
		return exitNotRun
	}
	record, err := newRecord("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	s, err := newSite(program, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.note("the case could not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	stop := func(reason string) {
		record.note("%s", reason)
		s.close()
		record.close()
		os.Exit(exitNotRun)
	}
	time.AfterFunc(117*time.Second, func() { stop("the case did not end in time") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		stop("the case was stopped")
	}()
	broken, err := cases[os.Args[1]](s)
	switch {
	case err != nil:
		record.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		record.note("result: the rule was broken")
		return exitBroken
	default:
		record.note("result: the rule held")
		return exitHeld
	}
}
