package placer

import (
	"slices"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

const (
	// spareFraction is the fraction of the remaining copies' request slots in use below
	// which one of several copies is unloaded.
	spareFraction = 0.3
	// referenceLoadTime is the load time at which one cold start costs as much as keeping a
	// copy idle for State.Idle.
	referenceLoadTime = 10 * time.Second
	// tailExponent is the exponent of the load time in State.coldStartCost. It applies in
	// addition to the copy's size, which already makes its idle time more expensive.
	tailExponent = 2.0
)

// planUnloads plans to unload copies that are withdrawn, replaced or idle.
func (p *planBuilder) planUnloads() {
	for _, name := range p.engineNames {
		usage := p.engines[name]
		if !usage.engine.trusted() {
			continue
		}
		for _, placed := range usage.copies {
			if placed.reported && !placed.beingUnloaded() && p.shouldUnload(usage, placed) {
				p.planUnload(usage, placed)
			}
		}
	}
}

// shouldUnload reports whether a copy should be unloaded. A copy that is loading is left
// alone until it is ready, because its read from the weight store could continue after the
// engine no longer reports it.
func (p *planBuilder) shouldUnload(usage *engineUsage, placed *placedCopy) bool {
	if placed.loading || placed.state != reporter.CopyReady {
		return false
	}
	if !placed.versionKnown {
		return placed.running == 0
	}
	if p.state.Catalog.VersionWithdrawn(placed.version) {
		return true
	}
	return placed.running == 0 && p.dispensable(usage, placed)
}

// dispensable reports whether an idle copy is outdated, not needed beside the other copies,
// or was not requested for its keep-alive time.
func (p *planBuilder) dispensable(usage *engineUsage, placed *placedCopy) bool {
	model, version, ok := p.state.Catalog.currentVersion(placed.version.Model)
	if !ok || version.Checkpoint != placed.checkpoint && p.anyReady(version.Checkpoint) {
		return true
	}
	demand := p.demands[model.Name]
	if demand != nil && demand.want.Waiting > 0 {
		return false
	}
	idle := !p.state.Prewarm[model.Name] && p.state.Now.Sub(p.lastUsed(model.Name)) >= p.keepAlive(placed)
	return idle || p.superfluous(usage, placed)
}

// anyReady reports whether any copy of a checkpoint serves requests.
func (p *planBuilder) anyReady(checkpoint string) bool {
	return slices.ContainsFunc(p.hosts[checkpoint], func(usage *engineUsage) bool {
		return usage.copies[checkpoint].serves()
	})
}

// keepAlive returns how long a copy stays loaded without requests. Under parser.EvictCost
// large models stay longer than small ones, which are quick to load again.
func (p *planBuilder) keepAlive(placed *placedCopy) time.Duration {
	if p.state.Policy == parser.EvictAge {
		return p.state.Idle
	}
	coldStartCost := p.state.coldStartCost(placed.bytes)
	gaps, ok := p.state.Gaps[placed.version.Model]
	if !ok || p.state.CommonGaps == nil {
		return max(minResidency, coldStartCost)
	}
	return max(minResidency, gaps.keepAlive(coldStartCost, p.state.CommonGaps))
}

// superfluous reports whether the other copies of a version have enough unused request
// slots.
func (p *planBuilder) superfluous(usage *engineUsage, placed *placedCopy) bool {
	others, running := 0, 0
	for _, other := range p.copiesOf(placed.version) {
		if other != placed && other.serves() {
			others++
			running += other.running
		}
	}
	return others > 0 && float64(running) < spareFraction*float64(others*usage.engine.Report.Slots)
}

// unloadOldCopy plans to unload the least busy old copy of a model whose new version does not fit
// into memory beside it. It does nothing while a copy of the model is loading or unloading.
func (p *planBuilder) unloadOldCopy(demand *modelDemand) {
	var usage *engineUsage
	var leastBusy *placedCopy
	for _, name := range p.engineNames {
		for _, placed := range p.engines[name].copies {
			if !placed.versionKnown || placed.version.Model != demand.model.Name {
				continue
			}
			if placed.beingUnloaded() || placed.loading {
				return
			}
			if leastBusy == nil || placed.running < leastBusy.running {
				usage = p.engines[name]
				leastBusy = placed
			}
		}
	}
	if leastBusy != nil {
		p.planUnload(usage, leastBusy)
	}
}
