package placer

import (
	"slices"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// Assumed read rates by the place that holds the weights, in bytes per second.
const (
	memorySpeed = 16e9
	diskSpeed   = 3e9
	remoteSpeed = 1e9
)

// minResidency is how long a copy or adapter is protected from eviction after its last
// request.
const minResidency = 3 * time.Second

// loadTime estimates how long it takes to load weights from a place.
func loadTime(bytes int64, place reporter.Place) time.Duration {
	speed := remoteSpeed
	switch place {
	case reporter.PlaceMemory:
		speed = memorySpeed
	case reporter.PlaceDisk:
		speed = diskSpeed
	case reporter.PlaceRemote:
	}
	return time.Duration(float64(bytes) / speed * float64(time.Second))
}

// evict plans the cheapest unloads that make enough space on one of the candidate engines.
// If prewarm is set, models that are themselves worth prewarming are not evicted. It reports
// whether there are such unloads.
func (p *planBuilder) evict(candidates []*engineUsage, bytes int64, prewarm bool) bool {
	var best *engineUsage
	var victims []*placedCopy
	lowest := 0.0
	for _, usage := range candidates {
		chosen, cost, ok := p.chooseVictims(usage, bytes, prewarm)
		if ok && (best == nil || cost < lowest) {
			best = usage
			victims = chosen
			lowest = cost
		}
	}
	if best == nil {
		return false
	}
	for _, victim := range victims {
		p.planUnload(best, victim)
	}
	best.reserve(bytes)
	return true
}

// chooseVictims returns the copies to unload from one engine and the total cost of losing
// them. It reports false if the idle copies do not free enough memory.
func (p *planBuilder) chooseVictims(usage *engineUsage, bytes int64, prewarm bool) ([]*placedCopy, float64, bool) {
	var idle []*placedCopy
	for _, placed := range usage.copies {
		if p.evictable(placed) && (!prewarm || !p.state.Prewarm[placed.version.Model]) {
			idle = append(idle, placed)
		}
	}
	slices.SortFunc(idle, func(a, b *placedCopy) int {
		if costA, costB := p.evictionCost(a), p.evictionCost(b); costA < costB || costA == costB && a.checkpoint < b.checkpoint {
			return -1
		}
		return 1
	})
	free := usage.free() + usage.freeing
	total := 0.0
	for i, placed := range idle {
		free += placed.bytes
		total = p.combineCosts(total, p.evictionCost(placed))
		if free >= bytes {
			return idle[:i+1], total, true
		}
	}
	return nil, 0, false
}

// evictable reports whether a copy may be unloaded to free memory. Copies that load or run
// requests, have waiting requests or were used within minResidency are protected.
func (p *planBuilder) evictable(placed *placedCopy) bool {
	if !placed.serves() || placed.loading || placed.running > 0 {
		return false
	}
	if demand, ok := p.demands[placed.version.Model]; ok && demand.want.Waiting > 0 && demand.version.Name == placed.version.Name {
		return false
	}
	return p.state.Now.Sub(p.lastUsed(placed.version.Model)) >= minResidency
}

// evictionCost returns the cost of losing a copy. Under parser.EvictCost it is the rate of
// requests per second times the time to load the copy again, under parser.EvictAge the time
// of its last use.
func (p *planBuilder) evictionCost(placed *placedCopy) float64 {
	if p.state.Policy == parser.EvictAge {
		return float64(p.lastUsed(placed.version.Model).UnixNano())
	}
	demand, ok := p.demands[placed.version.Model]
	if !ok {
		return 0
	}
	return demand.rate * loadTime(placed.bytes, reporter.PlaceRemote).Seconds()
}

// combineCosts returns the cost of losing several copies at once.
func (p *planBuilder) combineCosts(a, b float64) float64 {
	if p.state.Policy == parser.EvictAge {
		return max(a, b)
	}
	return a + b
}
