package stager

import (
	"cmp"
	"context"
	"slices"
)

const (
	// coverKeepCopies is the number of copies that a model keeps when one is evicted for a
	// model that has none, as long as its demand is not known.
	coverKeepCopies = 2
	// coverShare is the value of the first copy of a model without demand, as a fraction of
	// the mean demand for a model.
	coverShare = 0.25
)

// uncovered returns the models of a service that no engine holds, those with the most demand
// first.
func uncovered(models []string, rates map[string]float64, copies map[string]int) []string {
	var missing []string
	for _, model := range models {
		if copies[model] == 0 {
			missing = append(missing, model)
		}
	}
	slices.SortStableFunc(missing, func(a, b string) int { return cmp.Compare(rates[b], rates[a]) })
	return missing
}

// coverWorth returns the value of the first copy of a model, in tokens a second.
func coverWorth(models []string, rates map[string]float64) float64 {
	total := 0.0
	for _, model := range models {
		total += rates[model]
	}
	return coverShare * total / float64(max(1, len(models)))
}

// pinScarce pins the models that have at most the given number of copies.
func pinScarce(candidates []candidate, most int) {
	for i := range candidates {
		for j := range candidates[i].loaded {
			candidates[i].loaded[j].pinned = candidates[i].loaded[j].pinned || candidates[i].loaded[j].copies <= most
		}
	}
}

// cover starts the load of one model that no engine holds, in place of the copy that costs
// least to evict. Otherwise the first request for the model would wait for the weight store.
func (s *Stager) cover(ctx context.Context, name string, term Term, service string) {
	record, _ := s.config.Snapshot().Service(service)
	if record.Engine == nil || s.countEngines(service) == 0 {
		return
	}
	rates, copies := s.demand.rates(), s.countCopies()
	for _, checkpoint := range uncovered(record.Engine.Models, rates, copies) {
		d := copyDemand{
			checkpoint: checkpoint,
			worth:      max(rates[checkpoint], coverWorth(record.Engine.Models, rates)),
		}
		if log, ok := s.addCopy(ctx, name, term, service, d, coverKeepCopies); ok {
			log.Info("stage.covered")
			return
		}
	}
}
