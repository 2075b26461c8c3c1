package stager

import (
	"cmp"
	"context"
	"slices"
)

const (
	// firstCopyKeepCopies is the number of copies that a model keeps when one is evicted for
	// another model's first copy, which no request waits for yet.
	firstCopyKeepCopies = 2
	// firstCopyShare is the minimum benefit of a model's first copy, as a fraction of the mean
	// demand for a model.
	firstCopyShare = 0.25
)

// withoutCopy returns the models of a service that no engine holds, those with the most demand
// first.
func withoutCopy(models []string, rates map[string]float64, copies map[string]int) []string {
	var missing []string
	for _, model := range models {
		if copies[model] == 0 {
			missing = append(missing, model)
		}
	}
	slices.SortStableFunc(missing, func(a, b string) int { return cmp.Compare(rates[b], rates[a]) })
	return missing
}

// firstCopyBenefit returns the minimum benefit of a model's first copy, in tokens a second.
func firstCopyBenefit(models []string, rates map[string]float64) float64 {
	total := 0.0
	for _, model := range models {
		total += rates[model]
	}
	return firstCopyShare * total / float64(max(1, len(models)))
}

// pinModelsWithFewCopies pins the models that have at most the given number of copies, so that
// they are not evicted.
func pinModelsWithFewCopies(candidates []candidate, maxCopies int) {
	for i := range candidates {
		for j := range candidates[i].loaded {
			candidates[i].loaded[j].pinned = candidates[i].loaded[j].pinned || candidates[i].loaded[j].copies <= maxCopies
		}
	}
}

// addFirstCopy starts the load of one model that no engine holds, in place of the copy that costs
// least to evict. Otherwise the first request for the model would wait for the weight store.
func (s *Stager) addFirstCopy(ctx context.Context, duty string, term Term, service string) {
	record, _ := s.config.Snapshot().Service(service)
	if record.Engine == nil || s.countEngines(service) == 0 {
		return
	}
	rates, copies := s.demand.rates(), s.countCopies()
	for _, checkpoint := range withoutCopy(record.Engine.Models, rates, copies) {
		d := copyDemand{
			checkpoint: checkpoint,
			benefit:    max(rates[checkpoint], firstCopyBenefit(record.Engine.Models, rates)),
		}
		if log, ok := s.addCopy(ctx, duty, term, service, d, firstCopyKeepCopies); ok {
			log.Info("stage.covered")
			return
		}
	}
}
