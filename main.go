// Buckthorngap serves many rarely used language models. It admits, limits, queues and routes the requests of
// teams, and places models on engines.
package main

import (
	"os"

	"github.com/buckthorngap/buckthorngap/internal/commander"
	"github.com/buckthorngap/buckthorngap/internal/invoker"
)

func main() {
	os.Exit(commander.New(invoker.Process()).Run())
}
