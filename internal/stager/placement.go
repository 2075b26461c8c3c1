package stager

import "time"

const (
	// lastCopyPenalty multiplies the eviction cost of the only copy of a model: no other copy
	// can take over its requests.
	lastCopyPenalty = 4
	// minGain is the minimum ratio of the demand for the new model to the eviction cost, so
	// that two models do not keep replacing each other.
	minGain = 1.5
	// minResidence is how long a loaded model is protected from eviction, so that the cost of
	// its load is not wasted.
	minResidence = 8 * time.Second
	// loadSecondCost is the cost of one second of loading, in tokens a second. It makes engines
	// preferred that have the weights in memory or on disk.
	loadSecondCost = 100
)

// candidate is an engine that a model could be loaded on.
type candidate struct {
	engine string
	// free is the unused accelerator memory, in bytes.
	free int64
	// load is how long loading the model takes on this engine; remote is set if the weights
	// come from the weight store.
	load   time.Duration
	remote bool
	// loaded are the models that the engine holds.
	loaded []resident
}

// resident is a model that an engine holds, with what its eviction would cost.
type resident struct {
	checkpoint string
	// bytes is the accelerator memory of the model and its adapters.
	bytes int64
	// rate is the demand for the model, in tokens a second, over all its copies.
	rate float64
	// copies is the number of engines that hold the model.
	copies int
	// pinned is set if the model must not be evicted now.
	pinned bool
}

// evictBefore reports whether this copy is evicted before another one: it costs less or, if nothing is known of the demand for
// both, as after the start, its model has more copies.
func (r resident) evictBefore(other resident) bool {
	if cost, otherCost := r.evictionCost(), other.evictionCost(); cost != otherCost {
		return cost < otherCost
	}
	return r.copies > other.copies
}

// evictionCost returns the demand that evicting this copy displaces, in tokens a second.
func (r resident) evictionCost() float64 {
	if r.copies > 1 {
		return r.rate / float64(r.copies)
	}
	return r.rate * lastCopyPenalty
}

// placement is the engine that a model is loaded on, and the models that are evicted for it.
type placement struct {
	candidate candidate
	victims   []resident
	// bytes is the accelerator memory of the model to load.
	bytes int64
	// only is the number of victims that are the only copy of their model.
	only int
	// cost is the eviction cost plus the cost of the load time, in tokens a second.
	cost float64
}

// cheaper reports whether the placement is better than another one.
func (p placement) cheaper(other placement) bool {
	if p.cost != other.cost {
		return p.cost < other.cost
	}
	return p.only < other.only
}

// countOnly counts the copies that are the only one of their model.
func countOnly(copies []resident) int {
	only := 0
	for _, r := range copies {
		if r.copies <= 1 {
			only++
		}
	}
	return only
}

// choosePlacement returns the cheapest engine on which to load a model of the given size in bytes
// and demand (rate, in tokens a second). It returns false if no engine has room for the model, or
// if the demand is less than minGain times the eviction cost.
func choosePlacement(candidates []candidate, bytes int64, rate float64) (placement, bool) {
	var best placement
	found := false
	for _, c := range candidates {
		victims, cost, ok := c.evictions(bytes)
		if !ok || cost*minGain > rate {
			continue
		}
		cost += loadSecondCost * c.load.Seconds()
		next := placement{
			candidate: c,
			victims:   victims,
			bytes:     bytes,
			only:      countOnly(victims),
			cost:      cost,
		}
		if !found || next.cheaper(best) {
			best, found = next, true
		}
	}
	return best, found
}

// evictions returns the models to evict for a model of the given size, the cheapest first, and
// their total cost. It returns false if evicting all models that are not pinned does not free
// enough memory.
func (c candidate) evictions(bytes int64) (victims []resident, cost float64, ok bool) {
	free := c.free
	evicted := make([]bool, len(c.loaded))
	for free < bytes {
		cheapest := -1
		for i, r := range c.loaded {
			if r.pinned || evicted[i] || cheapest >= 0 && !r.evictBefore(c.loaded[cheapest]) {
				continue
			}
			cheapest = i
		}
		if cheapest < 0 {
			return nil, 0, false
		}
		evicted[cheapest] = true
		victims = append(victims, c.loaded[cheapest])
		free += c.loaded[cheapest].bytes
		cost += c.loaded[cheapest].evictionCost()
	}
	return victims, cost, true
}
