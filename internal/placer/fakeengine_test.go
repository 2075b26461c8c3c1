package placer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/orderer"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// fakeEngine executes orders and publishes delayed reports. It checks the expiry and, if
// enabled, the fencing number of orders, but exceeds its memory if ordered to, so that the
// checker can detect it.
type fakeEngine struct {
	sim     *simulation
	name    string
	domain  string
	total   int64
	fencing bool
	// ignoresExpiry makes the engine execute expired orders.
	ignoresExpiry bool
	leaving       bool

	// mutex is shared by the engines of a domain.
	mutex *sync.Mutex
	boots int
	epoch uint64
	// executed are the IDs of the orders that were executed since the last boot.
	executed map[string]bool
	copies   []reporter.Copy
	// disk are the checkpoints cached on the local disk.
	disk map[string]bool
	// pools holds the adapters beside each checkpoint; the value is true once they are
	// ready.
	pools   map[string]map[string]bool
	reports []reporter.Report
	// reportLag is the age at which a report becomes visible.
	reportLag time.Duration
	// bootCtx ends when the engine restarts.
	bootCtx context.Context
	cancel  context.CancelFunc
}

func newFakeEngine(sim *simulation, name, domain string, total int64, fencing bool, mutex *sync.Mutex) *fakeEngine {
	e := &fakeEngine{
		mutex:     mutex,
		sim:       sim,
		name:      name,
		domain:    domain,
		total:     total,
		fencing:   fencing,
		reportLag: 100 * time.Millisecond,
		disk:      map[string]bool{},
	}
	e.boot()
	return e
}

// boot restarts the engine: copies and loads in progress are lost.
func (e *fakeEngine) boot() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.cancel != nil {
		e.cancel()
	}
	e.bootCtx, e.cancel = context.WithCancel(e.sim.ctx)
	e.boots++
	e.epoch = 0
	e.executed = map[string]bool{}
	e.copies = nil
	e.pools = map[string]map[string]bool{}
}

// run publishes a report every 100 milliseconds.
func (e *fakeEngine) run() {
	for e.sim.ctx.Err() == nil {
		e.publish()
		time.Sleep(100 * time.Millisecond)
	}
}

// publish adds a report of the current state.
func (e *fakeEngine) publish() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	report := reporter.Report{
		Upstream: e.name,
		At:       time.Now(),
		Bytes:    e.total,
		Slots:    4,
		Copies:   slices.Clone(e.copies),
		Cached:   map[string]reporter.Place{},
	}
	if e.fencing {
		report.Epoch = e.epoch
	}
	for _, loaded := range e.copies {
		report.Used += loaded.Bytes
	}
	for i := range report.Copies {
		report.Copies[i].Adapters = e.adapters(report.Copies[i].Checkpoint, true)
		report.Copies[i].Reading = e.adapters(report.Copies[i].Checkpoint, false)
	}
	for checkpoint := range e.disk {
		report.Cached[checkpoint] = reporter.PlaceDisk
	}
	e.reports = append(e.reports, report)
	if len(e.reports) > 64 {
		e.reports = e.reports[1:]
	}
}

// report returns the newest report that is older than the reporting lag.
func (e *fakeEngine) report() (reporter.Report, time.Time, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, report := range slices.Backward(e.reports) {
		if time.Since(report.At) >= e.reportLag {
			return report, time.Now(), true
		}
	}
	return reporter.Report{}, time.Time{}, false
}

// execute executes an order according to the engine protocol.
func (e *fakeEngine) execute(order orderer.Order) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.ignoresExpiry && time.Now().After(order.Expiry) {
		return &orderer.Expired{
			Order: order.ID,
		}
	}
	if e.fencing && order.Epoch < e.epoch {
		return &orderer.Fenced{
			Order: order.ID,
		}
	}
	e.epoch = max(e.epoch, order.Epoch)
	if e.executed[order.ID] {
		return nil
	}
	e.executed[order.ID] = true
	index := e.indexOf(order.Checkpoint)
	switch {
	case order.Kind == orderer.Load && index < 0:
		e.copies = append(e.copies, reporter.Copy{
			Checkpoint: order.Checkpoint,
			Bytes:      order.Bytes,
			State:      reporter.CopyLoading,
			Order:      order.ID,
		})
		go e.load(e.bootCtx, order, e.disk[order.Checkpoint])
	case order.Kind == orderer.Unload && index >= 0:
		e.copies[index].State = reporter.CopyUnloading
		go e.unload(e.bootCtx, order.Checkpoint)
	case order.Kind == orderer.LoadAdapter && index >= 0 && e.copies[index].State == reporter.CopyReady:
		e.addAdapter(order)
	case order.Kind == orderer.UnloadAdapter && index >= 0:
		delete(e.pools[order.Checkpoint], order.Adapter)
	}
	e.sim.checkInvariants(e)
	return nil
}

func (e *fakeEngine) isLeaving() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.leaving
}

func (e *fakeEngine) leave() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = true
}

// indexOf returns the index of a checkpoint's copy, or -1.
func (e *fakeEngine) indexOf(checkpoint string) int {
	return slices.IndexFunc(e.copies, func(c reporter.Copy) bool { return c.Checkpoint == checkpoint })
}

// load finishes a load after the time that it takes from the local disk or the weight
// store.
func (e *fakeEngine) load(bootCtx context.Context, order orderer.Order, local bool) {
	failed := false
	if local {
		time.Sleep(200 * time.Millisecond)
	} else {
		failed = !e.sim.weightStore.fetch(bootCtx, order.Bytes)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	index := e.indexOf(order.Checkpoint)
	if bootCtx.Err() != nil || index < 0 || e.copies[index].Order != order.ID {
		return
	}
	if failed {
		e.copies = slices.Delete(e.copies, index, index+1)
		return
	}
	e.disk[order.Checkpoint] = true
	if e.copies[index].State == reporter.CopyLoading {
		e.copies[index].State = reporter.CopyReady
	}
}

// unload removes a copy after the time that an unload takes.
func (e *fakeEngine) unload(bootCtx context.Context, checkpoint string) {
	time.Sleep(300 * time.Millisecond)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if index := e.indexOf(checkpoint); bootCtx.Err() == nil && index >= 0 {
		e.copies = slices.Delete(e.copies, index, index+1)
		delete(e.pools, checkpoint)
	}
}

// serves reports whether a request for a checkpoint and, unless it is empty, an adapter can
// run.
func (e *fakeEngine) serves(checkpoint, adapter string) bool {
	if !e.ready(checkpoint) {
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return adapter == "" || e.pools[checkpoint][adapter]
}

// ready reports whether the copy of a checkpoint is ready.
func (e *fakeEngine) ready(checkpoint string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	index := e.indexOf(checkpoint)
	return index >= 0 && e.copies[index].State == reporter.CopyReady
}

// fakeWeightStore is the weight store. It checks the number of concurrent loads and of loads
// started in the last second.
type fakeWeightStore struct {
	mutex   sync.Mutex
	checker *checker
	running int
	starts  []time.Time
	// slowdown is the factor by which loads are slowed down.
	slowdown float64
}

// fetch simulates one load and reports whether it was completed.
func (w *fakeWeightStore) fetch(ctx context.Context, bytes int64) bool {
	w.mutex.Lock()
	now := time.Now()
	w.running++
	w.starts = append(slices.DeleteFunc(w.starts, func(at time.Time) bool { return now.Sub(at) >= time.Second }), now)
	w.checker.loads(w.running, len(w.starts))
	took := time.Duration(float64(bytes) * w.slowdown * float64(100*time.Millisecond))
	w.mutex.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(took):
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running--
	return ctx.Err() == nil
}
