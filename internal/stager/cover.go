package stager

import (
	"cmp"
	"context"
	"slices"
)

const (
	// coverLeast is the number of copies that a model keeps when one makes way for
	// a model that has none, as long as demand is not known.
	coverLeast = 2
	// coverShare is what a copy of a model that nobody asks for is worth, as a part
	// of the mean demand for a model.
	coverShare = 0.25
)

// uncovered lists the models of a service that no engine holds, those that are
// asked for most first.
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

// coverWorth is what the first copy of a model is worth, in tokens a second.
func coverWorth(models []string, rates map[string]float64) float64 {
	total := 0.0
	for _, model := range models {
		total += rates[model]
	}
	return coverShare * total / float64(max(1, len(models)))
}

// keepFew fixes the models with few copies.
func keepFew(sites []site, least int) {
	for i := range sites {
		for j := range sites[i].held {
			sites[i].held[j].fixed = sites[i].held[j].fixed || sites[i].held[j].copies <= least
		}
	}
}

// cover begins the load of a model that no engine holds, in place of a copy
// that is needed least: its first request would wait for the weight store.
func (s *Stager) cover(ctx context.Context, name string, term Term, service string) {
	found, _ := s.config.Snapshot().Service(service)
	if found.Engine == nil || s.count(service) == 0 {
		return
	}
	rates, copies := s.demand.rates(), s.copies()
	for _, checkpoint := range uncovered(found.Engine.Models, rates, copies) {
		wanted := want{
			checkpoint: checkpoint,
			worth:      max(rates[checkpoint], coverWorth(found.Engine.Models, rates)),
		}
		if log, ok := s.add(ctx, name, term, service, wanted, coverLeast); ok {
			log.Info("stage.covered")
			return
		}
	}
}
