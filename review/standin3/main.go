// Command standin3 plays the cases of a review: the store, the engines, the consumers and the platform are stand-ins, the machines
// run the program of the deploy file.
package main

import (
	"log"
	"os"
)

// The exit codes of a case: the rule held, it was broken, or the case could not run.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		log.Print("usage: standin3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		log.Print(err)
		os.Exit(exitNotRun)
	}
	record := log.New(file, "", 0)
	trouble := os.Getenv("TROUBLE") != "0"
	switch os.Args[1] {
	case "unmarked":
		os.Exit(runUnmarked(record, trouble))
	case "copies":
		os.Exit(runCopies(record, trouble))
	default:
		log.Print("no such case")
		os.Exit(exitNotRun)
	}
}
