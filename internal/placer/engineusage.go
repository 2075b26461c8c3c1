package placer

import (
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
			checkpoint:   loaded.Checkpoint,
			version:      version,
			versionKnown: known,
			bytes:        loaded.Bytes,
			reported:     true,
			state:        loaded.State,
			running:      loaded.Running,
			adapters:     loaded.Adapters,
			reading:      loaded.Reading,
			fetching:     loaded.State == reporter.CopyLoading,
		}
		sum += loaded.Bytes
		if loaded.State == reporter.CopyUnloading {
			u.freeing += loaded.Bytes
		}
	}
	u.used = max(sum, engine.Report.Used)
	return u
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
			versionKnown: true,
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

// hasModel reports whether the engine has or may get a copy of a model.
func (u *engineUsage) hasModel(model string) bool {
	for _, placed := range u.copies {
		if placed.versionKnown && placed.version.Model == model {
			return true
		}
	}
	return false
}

// checkpointPlace returns from where the engine would load a checkpoint. Caches in the
// report are disregarded while a load from the weight store may evict their contents.
func (u *engineUsage) checkpointPlace(checkpoint string) reporter.Place {
	for _, placed := range u.copies {
		if placed.fetching {
			return reporter.PlaceRemote
		}
	}
	if place, ok := u.engine.Report.Cached[checkpoint]; ok {
		return place
	}
	return reporter.PlaceRemote
}

// free returns the memory that may be taken now, in bytes.
func (u *engineUsage) free() int64 { return u.engine.usableBytes() - u.used }

// reserve sets memory aside for the rest of the decision.
func (u *engineUsage) reserve(bytes int64) { u.used += bytes }
