package placer

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/orderer"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// snapshot collects the input of the next decision.
func (g *group) snapshot() State {
	now := g.config.Now()
	catalog := g.config.Catalog()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.teamCosts.decay(now)
	state := State{
		Now:        now,
		Ledger:     g.ledger,
		Wants:      g.collector.sum(now),
		Catalog:    catalog,
		Replicas:   g.replicas,
		Idle:       g.config.Settings.Idle.Duration,
		Policy:     g.config.Settings.Policy,
		ClaimedAt:  g.claimedAt,
		TeamCosts:  g.teamCosts.seconds,
		Gaps:       g.gaps,
		CommonGaps: g.commonGaps,
		disabled:   g.disabled,
	}
	g.observeGaps(state.Wants)
	g.recurrences.observe(now, state.Wants)
	state.Prewarm = g.recurrences.prewarmModels(&state)
	for _, engine := range g.engines() {
		state.Engines = append(state.Engines, g.engineState(engine, &catalog))
	}
	g.dropReports(state.Engines)
	state.Slots = g.freeSlots(now, state.Engines)
	state.AdapterLoads = g.freeAdapterLoads(now, state.Engines)
	for _, order := range g.adapterOrders {
		state.AdapterOrders = append(state.AdapterOrders, order.AdapterOrder)
	}
	return state
}

// engines returns the engines whose names hash to the group.
func (g *group) engines() []storer.Instance {
	var chosen []storer.Instance
	for _, engine := range g.config.Engines() {
		if engine.Domain == g.config.Domain && g.owns(engine.Name) {
			chosen = append(chosen, engine)
		}
	}
	return chosen
}

// owns reports whether an engine belongs to the group.
func (g *group) owns(name string) bool { return hashToGroup(name, g.config.DutyCount) == g.index }

// hashToGroup hashes a name to one of several groups.
func hashToGroup(name string, groups int) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return int(hash.Sum32() % uint32(groups))
}

// engineState returns the state of one engine for a decision.
func (g *group) engineState(instance storer.Instance, catalog *Catalog) Engine {
	report, reported := g.newestReport(instance.Name)
	upstream, _ := catalog.Upstream(instance.Name)
	engine := Engine{
		Name:       instance.Name,
		Bytes:      upstream.Bytes,
		Fencing:    upstream.Fencing,
		Leaving:    instance.Leaving,
		Report:     report,
		Reported:   reported,
		Quarantine: g.quarantine,
	}
	if g.disabled.quarantine {
		engine.Quarantine = time.Time{}
	}
	if g.disabled.readingAdapters {
		engine.Report.Copies = slices.Clone(report.Copies)
		for i := range engine.Report.Copies {
			engine.Report.Copies[i].Reading = nil
		}
	}
	return engine
}

// observeGaps adds the gaps between requests to the histograms.
func (g *group) observeGaps(wants []Want) {
	for i := range wants {
		gaps, ok := g.gaps[wants[i].Key.Model]
		if !ok {
			gaps = &GapHistogram{}
			g.gaps[wants[i].Key.Model] = gaps
		}
		gaps.observe(wants[i].Used, g.commonGaps)
	}
}

// newestReport returns the newest report seen of an engine. A report that is older than
// one seen before is ignored: it could miss the copy of an order whose intent has already
// been removed.
func (g *group) newestReport(name string) (reporter.Report, bool) {
	report, _, ok := g.config.Report(name)
	kept, found := g.reports[name]
	if !ok || found && !report.At.After(kept.At) {
		return kept, found
	}
	g.reports[name] = report
	return report, true
}

// dropReports drops the reports of engines that are no longer in the group.
func (g *group) dropReports(engines []Engine) {
	if len(g.reports) <= len(engines) {
		return
	}
	maps.DeleteFunc(g.reports, func(name string, _ reporter.Report) bool {
		return !slices.ContainsFunc(engines, func(e Engine) bool { return e.Name == name })
	})
}

// replicas returns the group's share of a model's copies in the domain. The shares of all
// groups sum to model.Replicas.
func (g *group) replicas(model configurator.Model) int {
	rank := (g.index + hashToGroup(model.Name, g.config.DutyCount)) % g.config.DutyCount
	return (model.Replicas + g.config.DutyCount - 1 - rank) / g.config.DutyCount
}

// freeSlots returns how many loads from the weight store may begin now.
func (g *group) freeSlots(now time.Time, engines []Engine) int {
	if g.disabled.slots {
		return g.config.Settings.Slots
	}
	if !g.pacer.ready(now) {
		return 0
	}
	return min(1, g.openSlots(engines))
}

// openSlots returns how many slots are certainly unused. Loads that an earlier holder did
// not record use slots too: those that are reported, and those that may run on engines
// whose reports are too old to show them.
func (g *group) openSlots(engines []Engine) int {
	open := len(g.slots.free(g.ledger))
	for i := range engines {
		engine := &engines[i]
		if !engine.trusted() && g.formerlyAllowed(engine.Name) {
			return 0
		}
		open -= g.unrecordedLoads(engine)
	}
	return max(0, open)
}

// formerlyAllowed reports whether an earlier holder may have loaded a copy on an engine
// without recording it.
func (g *group) formerlyAllowed(engine string) bool {
	return slices.ContainsFunc(g.ledger.Allowances, func(a Allowance) bool {
		return a.Engine == engine && a.Epoch != g.epoch
	})
}

// unrecordedLoads counts the copies that an engine is loading without an intent.
func (g *group) unrecordedLoads(engine *Engine) int {
	count := 0
	for i := range engine.Report.Copies {
		loaded := &engine.Report.Copies[i]
		if loaded.State == reporter.CopyLoading && !slices.ContainsFunc(g.ledger.Intents, func(intent Intent) bool {
			return intent.Kind == orderer.Load && intent.Engine == engine.Name && intent.Checkpoint == loaded.Checkpoint
		}) {
			count++
		}
	}
	return count
}

// freeAdapterLoads drops adapter orders that can have no further effect, and returns how many
// adapter loads may begin now. An order counts against the limit until it is answered or
// has expired.
func (g *group) freeAdapterLoads(now time.Time, engines []Engine) int {
	enginesByName := make(map[string]*Engine, len(engines))
	for i := range engines {
		enginesByName[engines[i].Name] = &engines[i]
	}
	g.adapterOrders = slices.DeleteFunc(g.adapterOrders, func(pending *pendingAdapterOrder) bool {
		engine, ok := enginesByName[pending.Engine]
		return !ok || engine.Reported && engine.Report.At.After(pending.expiry.Add(connectionGrace))
	})
	free := g.config.Settings.Adapters / (max(1, len(g.config.Domains)) * g.config.DutyCount)
	for _, pending := range g.adapterOrders {
		if pending.Kind == orderer.LoadAdapter && !pending.answered && now.Before(pending.expiry.Add(connectionGrace)) {
			free--
		}
	}
	return free
}
