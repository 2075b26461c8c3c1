package coldstarter

import (
	"slices"
	"syscall"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/orderer"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

const (
	// reportInterval is the time between reports, and so their maximum age.
	reportInterval = 250 * time.Millisecond
	// runTime is the duration of a request.
	runTime = 3 * time.Second
	// unloadTime is the duration of an unload.
	unloadTime = 200 * time.Millisecond
	// diskBytes is the size of the cache on an engine's disk, in bytes.
	diskBytes = 160 * gigabyte
)

// engine is a simulated engine.
type engine struct {
	fleet     *fleet
	onChange  func()
	name      string
	copies    []reporter.Copy
	disk      []string
	published reporter.Report
	idleSince map[string]time.Time
	// dead is set from the engine's crash to its restart.
	dead bool
}

// find returns the index of the checkpoint's copy, or -1.
func (e *engine) find(checkpoint string) int {
	return slices.IndexFunc(e.copies, func(c reporter.Copy) bool { return c.Checkpoint == checkpoint })
}

// used returns the memory used by all copies, in bytes.
func (e *engine) used() int64 {
	used := int64(0)
	for i := range e.copies {
		used += e.copies[i].Bytes
	}
	return used
}

// execute executes an order to load or unload a checkpoint.
func (e *engine) execute(order orderer.Order) error {
	if e.dead {
		return &orderer.Unreachable{
			Order: order.ID,
			Cause: syscall.ECONNREFUSED,
		}
	}
	at := e.find(order.Checkpoint)
	switch {
	case order.Kind == orderer.Load && at < 0:
		return e.load(order)
	case order.Kind == orderer.Unload && at >= 0 && e.copies[at].State == reporter.CopyReady:
		e.addIdleTime(order.Checkpoint)
		e.copies[at].State = reporter.CopyUnloading
		e.fleet.after(unloadTime, func() { e.remove(order.Checkpoint) })
	}
	return nil
}

// load reserves memory for a copy and reads the checkpoint from disk or from the
// weight store. If the store's rate limit refuses the read, the copy is removed.
func (e *engine) load(order orderer.Order) error {
	if e.used()+order.Bytes > engineBytes {
		e.fleet.result.Refused++
		return &orderer.NoMemory{
			Order: order.ID,
		}
	}
	e.copies = append(e.copies, reporter.Copy{
		Checkpoint: order.Checkpoint,
		Bytes:      order.Bytes,
		State:      reporter.CopyLoading,
		Order:      order.ID,
	})
	done := func() { e.ready(order.Checkpoint) }
	if slices.Contains(e.disk, order.Checkpoint) {
		e.fleet.after(seconds(float64(order.Bytes)/diskSpeed), done)
		return nil
	}
	if !e.fleet.weights.begin(e.fleet.now, e.name, order.Bytes, done) {
		e.remove(order.Checkpoint)
	}
	return nil
}

// ready marks a loaded copy as ready, unless it is gone.
func (e *engine) ready(checkpoint string) {
	at := e.find(checkpoint)
	if at < 0 {
		return
	}
	e.copies[at].State = reporter.CopyReady
	e.idleSince[checkpoint] = e.fleet.now
	e.cache(checkpoint)
	e.onChange()
}

// cache adds a checkpoint to the disk cache and evicts the least recently loaded
// ones until the cache fits.
func (e *engine) cache(checkpoint string) {
	e.disk = slices.DeleteFunc(e.disk, func(name string) bool { return name == checkpoint })
	e.disk = append(e.disk, checkpoint)
	for {
		total := int64(0)
		for _, name := range e.disk {
			total += e.fleet.bytes[name]
		}
		if total <= diskBytes {
			return
		}
		e.disk = e.disk[1:]
	}
}

// remove removes a copy, if there is one.
func (e *engine) remove(checkpoint string) {
	if at := e.find(checkpoint); at >= 0 {
		e.copies = slices.Delete(e.copies, at, at+1)
		e.onChange()
	}
}

// run starts one request on a ready copy, and schedules its end.
func (e *engine) run(checkpoint string) {
	at := e.find(checkpoint)
	e.addIdleTime(checkpoint)
	e.copies[at].Running++
	e.fleet.after(runTime, func() {
		if at := e.find(checkpoint); at >= 0 && e.copies[at].Running > 0 {
			e.copies[at].Running--
			e.idleSince[checkpoint] = e.fleet.now
		}
	})
}

// addIdleTime adds the time for which a copy has been idle to the idle hours,
// weighted by the copy's share of the engine's memory. The warm-up is not counted.
func (e *engine) addIdleTime(checkpoint string) {
	at := e.find(checkpoint)
	if e.copies[at].Running > 0 {
		return
	}
	since := e.idleSince[checkpoint]
	if since.Before(e.fleet.measuredFrom) {
		since = e.fleet.measuredFrom
	}
	idle := max(0, e.fleet.now.Sub(since).Hours())
	e.fleet.result.IdleHours += idle * float64(e.copies[at].Bytes) / engineBytes
	e.idleSince[checkpoint] = e.fleet.now
}

// die emulates a crash: copies, loads and requests are lost, and the disk cache
// stays. Since only loads from the weight store are cancelled, the engine must
// stay dead for longer than any other scheduled step of a copy takes.
func (e *engine) die() {
	for i := range e.copies {
		if e.copies[i].State == reporter.CopyReady {
			e.addIdleTime(e.copies[i].Checkpoint)
		}
	}
	e.fleet.weights.cancelLoads(e.fleet.now, e.name)
	e.copies = nil
	e.dead = true
}

// publish updates the report that instances see. The report of a dead engine
// stays as it was.
func (e *engine) publish(at time.Time) {
	if e.dead {
		return
	}
	e.published = reporter.Report{
		Upstream: e.name,
		At:       at,
		Bytes:    engineBytes,
		Used:     e.used(),
		Slots:    16,
		Copies:   slices.Clone(e.copies),
		Cached:   make(map[string]reporter.Place, len(e.disk)),
	}
	for _, name := range e.disk {
		e.published.Cached[name] = reporter.PlaceDisk
	}
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
