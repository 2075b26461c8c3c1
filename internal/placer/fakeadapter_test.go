package placer

import (
	"context"
	"slices"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/orderer"
)

// adapterLoadTime is how long an engine reads an adapter. It exceeds the validity of an order.
const adapterLoadTime = 2 * time.Second

// addAdapter reserves the memory of an adapter and begins to read it.
func (e *fakeEngine) addAdapter(order orderer.Order) {
	pool := e.pools[order.Checkpoint]
	if pool == nil {
		pool = map[string]bool{}
		e.pools[order.Checkpoint] = pool
	}
	if _, ok := pool[order.Adapter]; ok {
		return
	}
	pool[order.Adapter] = false
	e.sim.checker.pool(e.name+" "+order.Checkpoint, adapterBytes*len(pool))
	go e.loadAdapter(e.bootCtx, order)
}

// loadAdapter marks an adapter as ready after adapterLoadTime, unless it was unloaded or the
// engine restarted.
func (e *fakeEngine) loadAdapter(bootCtx context.Context, order orderer.Order) {
	time.Sleep(adapterLoadTime)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if _, ok := e.pools[order.Checkpoint][order.Adapter]; ok && bootCtx.Err() == nil {
		e.pools[order.Checkpoint][order.Adapter] = true
	}
}

// adapters returns the adapters beside a checkpoint that are ready, or those that are not.
func (e *fakeEngine) adapters(checkpoint string, ready bool) []string {
	var names []string
	for adapter, done := range e.pools[checkpoint] {
		if done == ready {
			names = append(names, adapter)
		}
	}
	slices.Sort(names)
	return names
}
