package coldstarter

import (
	"context"
	"time"
)

// task is the simulation of one variant on one site with one seed; its result is set when it has run.
type task struct {
	site    Site
	variant Variant
	span    time.Duration
	result  Result
}

// batch holds the tasks of one site.
type batch struct {
	tasks []*task
}

// newBatch returns a batch with a task for each variant and seed.
func newBatch(site Site, chosen []Variant, seeds uint64, span time.Duration) *batch {
	b := &batch{}
	for _, variant := range chosen {
		for seed := range seeds {
			seeded := site
			seeded.Seed = site.Seed + 10*seed
			b.tasks = append(b.tasks, &task{
				site:    seeded,
				variant: variant,
				span:    span,
			})
		}
	}
	return b
}

// results runs all tasks and returns the results of all seeds, by the variant's key.
func (b *batch) results(ctx context.Context) map[string][]Result {
	runBatches(ctx, b)
	return b.collect()
}

// collect returns the results of the finished tasks, by the variant's key.
func (b *batch) collect() map[string][]Result {
	results := map[string][]Result{}
	for _, t := range b.tasks {
		results[t.variant.key()] = append(results[t.variant.key()], t.result)
	}
	return results
}
