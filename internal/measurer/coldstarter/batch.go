package coldstarter

import (
	"context"
	"runtime"
	"runtime/debug"
	"sync"
	"time"
)

// task is the simulation of one variant on one site with one seed.
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

// pool runs tasks in parallel, one on each processor. Each task has its own
// virtual time, so that the results don't depend on the number of processors.
type pool struct {
	next chan *task
	done sync.WaitGroup
}

// garbagePercent is the GC percentage during simulations. It is higher than the
// default because simulations keep little memory and allocate much.
const garbagePercent = 1000

// runBatches runs the tasks of all batches.
func runBatches(ctx context.Context, batches ...*batch) {
	defer debug.SetGCPercent(debug.SetGCPercent(garbagePercent))
	p := &pool{
		next: make(chan *task),
	}
	for range runtime.GOMAXPROCS(0) {
		p.done.Add(1)
		go p.run(ctx)
	}
	for _, b := range batches {
		for _, t := range b.tasks {
			p.next <- t
		}
	}
	close(p.next)
	p.done.Wait()
}

func (p *pool) run(ctx context.Context) {
	defer p.done.Done()
	for t := range p.next {
		t.result = simulate(ctx, t.site, t.variant, t.site.arrivals(t.span))
	}
}

// figures are the statistics of a variant over all seeds.
type figures struct {
	requests   int
	wakes      int
	coldP50    time.Duration
	coldP99    time.Duration
	lowerBound time.Duration
	ratio      float64
	worst      float64
	p99        time.Duration
	mean       time.Duration
	idleHours  float64
	refused    int
	peak       int
	limited    int
}

// summarize combines the results of all seeds, as if their simulations had run
// on consecutive days. The figure worst is the highest ratio of a single seed.
func summarize(results []Result) figures {
	var f figures
	var all Result
	for i := range results {
		result := &results[i]
		for _, wake := range result.Wakes {
			wake.At = wake.At.Add(time.Duration(i) * day)
			all.Wakes = append(all.Wakes, wake)
		}
		all.Waits = append(all.Waits, result.Waits...)
		f.requests += result.Requests
		f.idleHours += result.IdleHours
		f.refused += result.Refused
		f.peak = max(f.peak, result.Peak)
		f.limited += result.Limited
		f.worst = max(f.worst, quantile(result.coldStartTimes(), 0.99).Seconds()/bound(result.Wakes, 0.99).Seconds())
	}
	f.wakes = len(all.Wakes)
	f.coldP50 = quantile(all.coldStartTimes(), 0.5)
	f.coldP99 = quantile(all.coldStartTimes(), 0.99)
	f.lowerBound = bound(all.Wakes, 0.99)
	f.ratio = f.coldP99.Seconds() / f.lowerBound.Seconds()
	f.p99 = quantile(all.Waits, 0.99)
	total := time.Duration(0)
	for _, wait := range all.Waits {
		total += wait
	}
	f.mean = total / time.Duration(max(1, len(all.Waits)))
	return f
}
