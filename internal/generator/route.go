package generator

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

// route is one of the two routes to the engine, direct or through the entry
// instance, with its statistics so far.
type route struct {
	generator *Generator
	url       string
	model     string
	secret    string

	mu    sync.Mutex
	stats RouteStats
}

// warmUp runs one round on the URL of the target route, to open the connections.
// The results count only in the statistics of r, which Run discards. The URL is
// replaced because newRoute appended the path to it for a second time.
func (r *route) warmUp(ctx context.Context, target *route) {
	r.url = target.url
	r.runRound(ctx)
}

// runMeasuredRound runs a round and records the CPU time and memory of the entry instance.
func (r *route) runMeasuredRound(ctx context.Context) {
	before := readUsage(r.generator.config.Pid)
	r.runRound(ctx)
	after := readUsage(r.generator.config.Pid)
	r.stats.CPUTime += after.cpuTime - before.cpuTime
	r.stats.Memory = max(r.stats.Memory, after.memory)
}

// runRound runs all streams until each has sent its requests, and records the duration.
func (r *route) runRound(ctx context.Context) {
	started := r.generator.config.Now()
	var group sync.WaitGroup
	config := r.generator.config
	for n := range config.Streams {
		group.Add(1)
		go r.run(ctx, &group, config.Stagger*time.Duration(n)/time.Duration(config.Streams))
	}
	group.Wait()
	r.stats.Span += r.generator.config.Now().Sub(started)
}

// run sends the requests of one stream sequentially, after a delay.
func (r *route) run(ctx context.Context, group *sync.WaitGroup, delay time.Duration) {
	defer group.Done()
	if !waiter.Pause(ctx, delay) {
		return
	}
	for range r.generator.config.Requests {
		if ctx.Err() != nil {
			return
		}
		prompt := "crate " + strconv.FormatInt(r.generator.sequence.Add(1), 10)
		first, whole, ok := r.sendRequest(ctx, prompt)
		r.record(first, whole, ok)
	}
}

// record adds the result of one request to the statistics. A failed request adds no times.
func (r *route) record(first, whole time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok {
		r.stats.Failed++
		return
	}
	r.stats.Requests++
	_ = r.stats.First.RecordValue(max(minLatency, first.Microseconds()))
	_ = r.stats.Whole.RecordValue(max(minLatency, whole.Microseconds()))
}
