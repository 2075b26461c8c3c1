package coldstarter

import (
	"context"
	"runtime"
	"runtime/debug"
	"sync"
)

// pool runs tasks in parallel, one on each processor. Each task has its own
// virtual time, so that the results don't depend on the number of processors.
type pool struct {
	next chan *task
	done sync.WaitGroup
}

// gcPercent is the GC percentage (GOGC) during simulations. It is higher than the
// default because simulations keep little memory and allocate much.
const gcPercent = 1000

// runBatches runs the tasks of all batches.
func runBatches(ctx context.Context, batches ...*batch) {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
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
