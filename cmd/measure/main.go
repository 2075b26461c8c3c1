// Measure runs the measurements and writes docs/MEASURES.md.
package main

import (
	"os"

	"github.com/buckthorngap/buckthorngap/internal/invoker"
	"github.com/buckthorngap/buckthorngap/internal/measurer"
)

func main() {
	os.Exit(measurer.New(invoker.Process()).Run())
}
