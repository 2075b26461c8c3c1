package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/orderer"
)

// planAdapters plans adapter loads into the pools of ready copies, and unloads adapters
// that are withdrawn, or that occupy needed memory and were least recently used. Requests
// with the earliest deadline go first.
func (p *planBuilder) planAdapters() {
	remaining := p.state.AdapterLoads
	lastUsed := p.adapterLastUsed()
	p.unloadWithdrawnAdapters()
	waiting := make([]*Want, 0, len(p.state.Wants))
	for i := range p.state.Wants {
		if want := &p.state.Wants[i]; want.Key.Adapter != "" && want.Waiting > 0 {
			waiting = append(waiting, want)
		}
	}
	slices.SortFunc(waiting, func(a, b *Want) int {
		return cmp.Or(a.Earliest.Compare(b.Earliest), cmp.Compare(a.Key.Adapter, b.Key.Adapter))
	})
	for _, want := range waiting {
		if remaining <= 0 {
			return
		}
		if p.planAdapterLoad(want, lastUsed) {
			remaining--
		}
	}
}

// adapterLastUsed returns when each adapter was last requested.
func (p *planBuilder) adapterLastUsed() map[string]time.Time {
	lastUsed := map[string]time.Time{}
	for i := range p.state.Wants {
		if want := &p.state.Wants[i]; want.Key.Adapter != "" && want.Used.After(lastUsed[want.Key.Adapter]) {
			lastUsed[want.Key.Adapter] = want.Used
		}
	}
	return lastUsed
}

// unloadWithdrawnAdapters plans to unload adapters that are withdrawn or not in the catalog.
func (p *planBuilder) unloadWithdrawnAdapters() {
	for _, name := range p.engineNames {
		usage := p.engines[name]
		for _, placed := range usage.copies {
			for _, adapter := range placed.adapters {
				if p.state.Catalog.adapterServable(adapter) {
					continue
				}
				configured, _ := p.state.Catalog.Adapter(adapter)
				p.planAdapterOrder(orderer.UnloadAdapter, usage, placed, adapter, configured.Bytes)
			}
		}
	}
}

// planAdapterLoad plans to load one adapter and reports whether it did.
func (p *planBuilder) planAdapterLoad(want *Want, lastUsed map[string]time.Time) bool {
	if !p.state.Catalog.adapterServable(want.Key.Adapter) {
		return false
	}
	adapter, _ := p.state.Catalog.Adapter(want.Key.Adapter)
	model, version, ok := p.state.Catalog.currentVersion(adapter.Model)
	if !ok || adapter.Bytes > model.AdapterBytes {
		return false
	}
	usage, placed := p.adapterHost(adapter.Name, version.Checkpoint)
	if placed == nil || !p.fitsOrEvicts(usage, placed, adapter.Bytes, model.AdapterBytes, lastUsed) {
		return false
	}
	p.planAdapterOrder(orderer.LoadAdapter, usage, placed, adapter.Name, adapter.Bytes)
	return true
}

// adapterHost returns the ready copy with the fewest running requests whose engine accepts
// orders. It returns nil if any such copy has the adapter or is about to get it.
func (p *planBuilder) adapterHost(adapter, checkpoint string) (*engineUsage, *placedCopy) {
	var bestUsage *engineUsage
	var best *placedCopy
	for _, usage := range p.hosts[checkpoint] {
		placed := usage.copies[checkpoint]
		if !placed.serves() || !usage.engine.acceptsCopies() {
			continue
		}
		if placed.hasAdapter(adapter) || p.adapterOrderPending(usage, adapter) {
			return nil, nil
		}
		if best == nil || placed.running < best.running {
			bestUsage = usage
			best = placed
		}
	}
	return bestUsage, best
}

// fitsOrEvicts reports whether the pool beside a copy has space for an adapter now. If not,
// it plans to unload the least recently used adapters until the pool will have space.
func (p *planBuilder) fitsOrEvicts(usage *engineUsage, placed *placedCopy, bytes, pool int64, lastUsed map[string]time.Time) bool {
	free, freeLater, idle := p.poolSpace(usage, placed, pool, lastUsed)
	if free >= bytes {
		return true
	}
	slices.SortFunc(idle, func(a, b string) int {
		return cmp.Or(lastUsed[a].Compare(lastUsed[b]), cmp.Compare(a, b))
	})
	for _, name := range idle {
		if freeLater >= bytes {
			break
		}
		loaded, _ := p.state.Catalog.Adapter(name)
		p.planAdapterOrder(orderer.UnloadAdapter, usage, placed, name, loaded.Bytes)
		freeLater += loaded.Bytes
	}
	return false
}

// poolSpace returns the free bytes of the pool beside a copy, the free bytes once all
// pending unloads are done, and the adapters that may be unloaded.
func (p *planBuilder) poolSpace(usage *engineUsage, placed *placedCopy, pool int64, lastUsed map[string]time.Time) (free, freeLater int64, idle []string) {
	free = pool
	for _, name := range placed.adapters {
		loaded, _ := p.state.Catalog.Adapter(name)
		free -= loaded.Bytes
		if !p.adapterOrderPending(usage, name) && p.state.Now.Sub(lastUsed[name]) >= minResidency {
			idle = append(idle, name)
		}
	}
	for _, name := range placed.reading {
		loaded, _ := p.state.Catalog.Adapter(name)
		free -= loaded.Bytes
	}
	taken, freed := p.pendingPoolBytes(usage, placed)
	return free - taken, free - taken + freed, idle
}

// pendingPoolBytes returns the bytes of the pool beside a copy that pending orders may
// still take, and those that they may still free.
func (p *planBuilder) pendingPoolBytes(usage *engineUsage, placed *placedCopy) (taken, freed int64) {
	for _, orders := range [][]AdapterOrder{p.state.AdapterOrders, p.plan.Adapters} {
		for _, order := range orders {
			if order.Engine != usage.engine.Name || order.Checkpoint != placed.checkpoint {
				continue
			}
			if order.Kind == orderer.LoadAdapter && !placed.hasAdapter(order.Adapter) {
				taken += order.Bytes
			}
			if order.Kind == orderer.UnloadAdapter && slices.Contains(placed.adapters, order.Adapter) {
				freed += order.Bytes
			}
		}
	}
	return taken, freed
}

// adapterOrderPending reports whether an order for an adapter on an engine is planned or
// may still take effect.
func (p *planBuilder) adapterOrderPending(usage *engineUsage, adapter string) bool {
	same := func(order AdapterOrder) bool {
		return order.Engine == usage.engine.Name && order.Adapter == adapter
	}
	return slices.ContainsFunc(p.state.AdapterOrders, same) || slices.ContainsFunc(p.plan.Adapters, same)
}

// planAdapterOrder plans an adapter order, unless one is already pending.
func (p *planBuilder) planAdapterOrder(kind orderer.Kind, usage *engineUsage, placed *placedCopy, adapter string, bytes int64) {
	if p.adapterOrderPending(usage, adapter) {
		return
	}
	p.plan.Adapters = append(p.plan.Adapters, AdapterOrder{
		Kind:       kind,
		Engine:     usage.engine.Name,
		Checkpoint: placed.checkpoint,
		Adapter:    adapter,
		Bytes:      bytes,
	})
}
