package placer

import (
	"slices"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// placedCopy is a copy that an engine has or may get.
type placedCopy struct {
	checkpoint string
	version    configurator.Version
	// versionKnown is set if the catalog or an intent names the version.
	versionKnown bool
	// bytes is the memory that the copy takes, its adapters' pool included.
	bytes int64
	// reported is set if the engine's report contains the copy; state, running, adapters
	// and reading are from the report.
	reported bool
	state    reporter.CopyState
	running  int
	adapters []string
	// reading are the adapters that take memory but cannot serve yet.
	reading []string
	// loading is set if a load is planned or recorded and not finished.
	loading bool
	// unloading is set if an unload is planned or recorded and not finished.
	unloading bool
	// fetching is set if the copy may currently be read from the weight store.
	fetching bool
}

// hasAdapter reports whether an adapter takes memory of the copy's pool.
func (c *placedCopy) hasAdapter(adapter string) bool {
	return slices.Contains(c.adapters, adapter) || slices.Contains(c.reading, adapter)
}

// serves reports whether the copy serves requests and is not about to be unloaded.
func (c *placedCopy) serves() bool {
	return c.reported && c.state == reporter.CopyReady && !c.unloading
}

// beingUnloaded reports whether the copy is being unloaded, or is about to be.
func (c *placedCopy) beingUnloaded() bool {
	return c.unloading || c.reported && c.state == reporter.CopyUnloading
}
