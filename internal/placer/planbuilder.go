package placer

import (
	"maps"
	"slices"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// planBuilder is the working state of one call of Decide.
type planBuilder struct {
	state *State
	// engines holds the expected memory use of each engine, by engine name.
	engines map[string]*engineUsage
	// engineNames are the keys of engines, sorted, so that engines are visited in a fixed
	// order.
	engineNames []string
	// hosts are the engines that have or may get a copy of a checkpoint, sorted by name.
	hosts map[string][]*engineUsage
	// copyCounts is the number of copies that each model has or may get.
	copyCounts map[string]int
	// demands is the demand by model.
	demands map[string]*modelDemand
	// slots is how many more loads from the weight store may begin.
	slots int
	plan  Plan
}

// Decide is the default Planner. It plans to unload copies that are withdrawn, replaced or
// idle, then loads in order of priority with the evictions that they need, then adapters.
func Decide(state State) Plan {
	p := &planBuilder{
		state:      &state,
		engines:    make(map[string]*engineUsage, len(state.Engines)),
		copyCounts: map[string]int{},
		hosts:      map[string][]*engineUsage{},
		slots:      state.Slots,
	}
	p.accountUsage()
	p.aggregateDemand()
	p.planUnloads()
	p.planLoads()
	p.planAdapters()
	return p.plan
}

// accountUsage computes the memory and the copies in use and finds the finished intents.
func (p *planBuilder) accountUsage() {
	for i := range p.state.Engines {
		engine := &p.state.Engines[i]
		p.engines[engine.Name] = newEngineUsage(engine, &p.state.Catalog)
	}
	p.engineNames = slices.Sorted(maps.Keys(p.engines))
	for _, intent := range p.state.Ledger.Intents {
		p.chargeIntent(intent)
	}
	for _, name := range p.engineNames {
		usage := p.engines[name]
		for checkpoint, placed := range usage.copies {
			p.hosts[checkpoint] = append(p.hosts[checkpoint], usage)
			if placed.versionKnown {
				p.copyCounts[placed.version.Model]++
			}
		}
	}
	p.countAllowances()
}

// chargeIntent counts the effects of one intent, unless it is finished. The intents of an
// engine that has left the platform's list count for departureGrace after their expiry.
func (p *planBuilder) chargeIntent(intent Intent) {
	usage, ok := p.engines[intent.Engine]
	switch {
	case ok && !p.finished(usage.engine, intent):
		if !p.state.disabled.charges {
			usage.charge(intent)
		}
	case !ok && p.state.Now.Before(intent.Expiry.Add(departureGrace)):
		p.copyCounts[intent.Model]++
	default:
		p.plan.Finished = append(p.plan.Finished, intent.Order)
	}
}

// finished reports whether an intent can have no further effect on an engine.
func (p *planBuilder) finished(engine *Engine, intent Intent) bool {
	return engine.finished(intent) || p.state.disabled.expiryWait && engine.Reported && !engine.reportsCheckpoint(intent.Checkpoint)
}

// countAllowances counts the copies that an earlier holder may have loaded under its
// allowances, without a record, on engines whose reports are too old to show them.
func (p *planBuilder) countAllowances() {
	for _, allowance := range p.state.Ledger.Allowances {
		usage, ok := p.engines[allowance.Engine]
		if !ok || usage.engine.trusted() || usage.hasModel(allowance.Model) {
			continue
		}
		p.copyCounts[allowance.Model] += allowance.Copies
	}
}

// copiesOf returns the copies of a version that are not being unloaded.
func (p *planBuilder) copiesOf(version configurator.Version) []*placedCopy {
	var copies []*placedCopy
	for _, usage := range p.hosts[version.Checkpoint] {
		if placed := usage.copies[version.Checkpoint]; !placed.beingUnloaded() {
			copies = append(copies, placed)
		}
	}
	return copies
}

// planUnload plans to unload a copy, unless that is already planned or ordered.
func (p *planBuilder) planUnload(usage *engineUsage, placed *placedCopy) {
	if placed.unloading {
		return
	}
	placed.unloading = true
	usage.freeing += placed.bytes
	p.plan.Unloads = append(p.plan.Unloads, Unload{
		Engine:     usage.engine.Name,
		Model:      placed.version.Model,
		Version:    placed.version.Name,
		Checkpoint: placed.checkpoint,
		Bytes:      placed.bytes,
	})
}
