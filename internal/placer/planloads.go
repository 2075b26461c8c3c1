package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

const (
	// departureGrace is the time after an order's expiry during which its copy still counts
	// although its engine is no longer in the platform's list.
	departureGrace = 10 * time.Second
	// busyFraction is the fraction of an engine's request slots in use above which a copy
	// is added.
	busyFraction = 0.75
)

// planLoads plans loads for the models that need a copy, most urgent first.
func (p *planBuilder) planLoads() {
	demands := make([]*modelDemand, 0, len(p.demands))
	for _, demand := range p.demands {
		demands = append(demands, demand)
	}
	if p.state.ByArrival {
		p.planLoadsByArrival(demands)
		return
	}
	slices.SortFunc(demands, compareDemands)
	for _, demand := range demands {
		p.addCopy(demand)
	}
}

// planLoadsByArrival plans loads in order of arrival until one has to wait.
func (p *planBuilder) planLoadsByArrival(demands []*modelDemand) {
	slices.SortFunc(demands, func(a, b *modelDemand) int {
		return cmp.Or(a.want.Since.Compare(b.want.Since), cmp.Compare(a.model.Name, b.model.Name))
	})
	for _, demand := range demands {
		if demand.want.Waiting == 0 || len(p.copiesOf(demand.version)) > 0 {
			continue
		}
		loads := len(p.plan.Loads)
		if p.addCopy(demand); len(p.plan.Loads) == loads {
			return
		}
	}
}

// compareDemands sorts models to prewarm last, and interactive before overnight demand,
// then by priority.
func compareDemands(a, b *modelDemand) int {
	if a.prewarm != b.prewarm {
		if b.prewarm {
			return -1
		}
		return 1
	}
	if a.want.Interactive != b.want.Interactive {
		if a.want.Interactive {
			return -1
		}
		return 1
	}
	if order := a.priority.Compare(b.priority); order != 0 {
		return order
	}
	if a.model.Name < b.model.Name {
		return -1
	}
	return 1
}

// addCopy plans another copy of a model if it needs one and its replicas permit it.
func (p *planBuilder) addCopy(demand *modelDemand) {
	copies := p.copiesOf(demand.version)
	if len(copies) >= p.targetCopies(demand, copies) {
		return
	}
	limit := p.state.Replicas(demand.model)
	count := p.copyCounts[demand.model.Name]
	switch {
	case count < limit:
		p.placeCopy(demand, false)
	case count == limit && limit > 0 && len(p.hosts[demand.version.Checkpoint]) == 0:
		// Only copies of other versions exist: the new one may be loaded before they are unloaded.
		if !p.placeCopy(demand, true) {
			p.unloadOldCopy(demand)
		}
	}
}

// targetCopies returns how many copies of its current version a model should have.
func (p *planBuilder) targetCopies(demand *modelDemand, copies []*placedCopy) int {
	if len(copies) == 0 {
		if demand.want.Waiting > 0 || p.outdated(demand) || p.shouldPrewarm(demand) {
			return 1
		}
		return 0
	}
	for _, placed := range copies {
		if !placed.serves() || !p.saturated(placed) {
			return len(copies)
		}
	}
	return len(copies) + 1
}

// shouldPrewarm reports whether a model without any copy is worth loading ahead of demand.
func (p *planBuilder) shouldPrewarm(demand *modelDemand) bool {
	return demand.prewarm && p.copyCounts[demand.model.Name] == 0
}

// outdated reports whether a model that was requested recently has copies. It is called for
// models without a copy of their current version, so that these copies are of old versions.
func (p *planBuilder) outdated(demand *modelDemand) bool {
	return p.copyCounts[demand.model.Name] > 0 && p.state.Now.Sub(demand.want.Used) < p.state.Idle
}

// saturated reports whether a copy runs nearly as many requests as its engine can, or has
// requests waiting on it.
func (p *planBuilder) saturated(placed *placedCopy) bool {
	for _, usage := range p.hosts[placed.checkpoint] {
		report := &usage.engine.Report
		if usage.copies[placed.checkpoint] != placed || report.Slots == 0 {
			continue
		}
		return float64(placed.running) >= busyFraction*float64(report.Slots) || placed.running > 0 && report.Waiting > 0
	}
	return false
}

// placeCopy plans a load on an engine with enough free memory, or plans unloads that free it.
// It reports whether memory is free or will be. Nothing is evicted for an extra copy.
func (p *planBuilder) placeCopy(demand *modelDemand, extra bool) bool {
	bytes := demand.version.Bytes + demand.model.AdapterBytes
	candidates := p.candidates(demand.version, bytes)
	if best := p.fastestEngine(candidates, demand.version, bytes); best != nil {
		p.planLoad(best, demand, bytes, extra)
		return true
	}
	if extra {
		return false
	}
	for _, usage := range candidates {
		if usage.free()+usage.freeing >= bytes {
			usage.reserve(bytes)
			return true
		}
	}
	return p.evict(candidates, bytes, demand.prewarm)
}

// candidates returns the engines on which a version may be placed.
func (p *planBuilder) candidates(version configurator.Version, bytes int64) []*engineUsage {
	var candidates []*engineUsage
	for _, name := range p.engineNames {
		usage := p.engines[name]
		_, taken := usage.copies[version.Checkpoint]
		if usage.engine.acceptsCopies() && !taken && usage.engine.usableBytes() >= bytes {
			candidates = append(candidates, usage)
		}
	}
	return candidates
}

// fastestEngine returns the engine with enough free memory that loads a version fastest,
// and among equals the one with the least free memory. Engines that have the checkpoint
// cached are thus preferred; a load from their cache needs no slot of the weight store.
func (p *planBuilder) fastestEngine(candidates []*engineUsage, version configurator.Version, bytes int64) *engineUsage {
	var best *engineUsage
	for _, usage := range candidates {
		if usage.free() < bytes {
			continue
		}
		if best == nil || p.loadsFaster(usage, best, version) {
			best = usage
		}
	}
	return best
}

// loadsFaster reports whether engine a is a better choice than b to load a version.
func (p *planBuilder) loadsFaster(a, b *engineUsage, version configurator.Version) bool {
	timeA := loadTime(version.Bytes, a.checkpointPlace(version.Checkpoint))
	timeB := loadTime(version.Bytes, b.checkpointPlace(version.Checkpoint))
	if timeA != timeB {
		return timeA < timeB
	}
	return a.free() < b.free()
}

// planLoad plans a load, or only reserves its memory if the weight store has no free slot.
func (p *planBuilder) planLoad(best *engineUsage, demand *modelDemand, bytes int64, extra bool) {
	remote := best.checkpointPlace(demand.version.Checkpoint) == reporter.PlaceRemote
	best.reserve(bytes)
	if remote && p.slots <= 0 {
		p.plan.SlotShortage++
		return
	}
	if remote {
		p.slots--
	}
	p.copyCounts[demand.model.Name]++
	best.copies[demand.version.Checkpoint] = &placedCopy{
		checkpoint:   demand.version.Checkpoint,
		version:      demand.version,
		versionKnown: true,
		bytes:        bytes,
		loading:      true,
		fetching:     remote,
	}
	p.hosts[demand.version.Checkpoint] = append(p.hosts[demand.version.Checkpoint], best)
	p.plan.Loads = append(p.plan.Loads, Load{
		Engine:  best.engine.Name,
		Version: demand.version,
		Bytes:   bytes,
		Remote:  remote,
		Extra:   extra,
		Since:   demand.want.Since,
		Team:    demand.want.Team,
	})
}
