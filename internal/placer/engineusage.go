package placer

import (
	"slices"

	"github.com/buckthorngap/buckthorngap/internal/orderer"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// engineUsage is the expected memory use of one engine during a decision: the larger of
// what the engine reports and what recorded orders may take.
type engineUsage struct {
	engine *Engine
	// used is the memory in use or reserved, in bytes.
	used int64
	// freeing is the part of used that pending unloads will free.
	freeing int64
	// copies are the copies that the engine has or may get, by checkpoint.
	copies map[string]*placedCopy
}

// placedCopy is a copy that an engine has or may get.
type placedCopy struct {
	checkpoint string
	version    configurator.Version
	// known is set if the version is known, by the catalog or from an intent.
	known bool
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

// newEngineUsage returns the memory use that the engine's report shows.
func newEngineUsage(engine *Engine, catalog *Catalog) *engineUsage {
	u := &engineUsage{
		engine: engine,
		copies: make(map[string]*placedCopy, len(engine.Report.Copies)),
	}
	if !engine.Reported {
		return u
	}
	sum := int64(0)
	for _, loaded := range engine.Report.Copies {
		version, known := catalog.Checkpoint(loaded.Checkpoint)
		u.copies[loaded.Checkpoint] = &placedCopy{
			checkpoint: loaded.Checkpoint,
			version:    version,
			known:      known,
			bytes:      loaded.Bytes,
			reported:   true,
			state:      loaded.State,
			running:    loaded.Running,
			adapters:   loaded.Adapters,
			reading:    loaded.Reading,
			fetching:   loaded.State == reporter.CopyLoading,
		}
		sum += loaded.Bytes
		if loaded.State == reporter.CopyUnloading {
			u.freeing += loaded.Bytes
		}
	}
	u.used = max(sum, engine.Report.Used)
	return u
}

// hasAdapter reports whether an adapter takes memory of the copy's pool.
func (c *placedCopy) hasAdapter(adapter string) bool {
	return slices.Contains(c.adapters, adapter) || slices.Contains(c.reading, adapter)
}

// charge adds the effects of a recorded order.
func (u *engineUsage) charge(intent Intent) {
	if intent.Kind == orderer.Unload {
		u.chargeUnload(intent)
		return
	}
	placed, ok := u.copies[intent.Checkpoint]
	if !ok {
		placed = &placedCopy{
			checkpoint: intent.Checkpoint,
			version: configurator.Version{
				Model:      intent.Model,
				Name:       intent.Version,
				Checkpoint: intent.Checkpoint,
			},
			known: true,
		}
		u.copies[intent.Checkpoint] = placed
	}
	placed.loading = true
	placed.fetching = intent.Slot != ""
	if more := intent.Bytes - placed.bytes; more > 0 {
		placed.bytes += more
		u.used += more
	}
}

// chargeUnload adds the effects of a recorded unload. Its checkpoint stays occupied even if
// the copy is gone, because the order could still unload a copy that is loaded again.
func (u *engineUsage) chargeUnload(intent Intent) {
	placed, ok := u.copies[intent.Checkpoint]
	if !ok {
		placed = &placedCopy{
			checkpoint: intent.Checkpoint,
		}
		u.copies[intent.Checkpoint] = placed
	}
	if placed.unloading {
		return
	}
	placed.unloading = true
	if placed.state != reporter.CopyUnloading {
		u.freeing += placed.bytes
	}
}

// free returns the memory that may be taken now, in bytes.
func (u *engineUsage) free() int64 { return u.engine.usableBytes() - u.used }

// reserve sets memory aside for the rest of the decision.
func (u *engineUsage) reserve(bytes int64) { u.used += bytes }

// serves reports whether the copy serves requests and is not about to be unloaded.
func (c *placedCopy) serves() bool {
	return c.reported && c.state == reporter.CopyReady && !c.unloading
}

// beingUnloaded reports whether the copy is being unloaded, or is about to be.
func (c *placedCopy) beingUnloaded() bool {
	return c.unloading || c.reported && c.state == reporter.CopyUnloading
}
