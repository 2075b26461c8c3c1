// Standin runs emulators of the platform, of upstreams and of callers for tests and trials.
package main

import (
	"os"

	"github.com/buckthorngap/buckthorngap/internal/emulator/launcher"
	"github.com/buckthorngap/buckthorngap/internal/invoker"
)

func main() {
	os.Exit(launcher.New(invoker.Process()).Run())
}
