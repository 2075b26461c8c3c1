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
	fleet *fleet
	// onChange is called when a copy becomes ready or is removed.
	onChange func()
	name     string
	copies   []reporter.Copy
	// disk holds the checkpoints in the disk cache, least recently loaded first.
	disk      []string
	published reporter.Report
	// idleSince holds the time from which each copy's idle time is still to be added, by checkpoint.
	idleSince map[string]time.Time
	// crashed is set from the engine's crash to its restart.
	crashed bool
}

// find returns the index of the checkpoint's copy, or -1.
func (e *engine) find(checkpoint string) int {
	return slices.IndexFunc(e.copies, func(c reporter.Copy) bool { return c.Checkpoint == checkpoint })
}

// used returns the memory used by all copies, in bytes.
func (e *engine) usedBytes() int64 {
	used := int64(0)
	for i := range e.copies {
		used += e.copies[i].Bytes
	}
	return used
}

// execute executes an order to load or unload a checkpoint.
func (e *engine) execute(order orderer.Order) error {
	if e.crashed {
		return &orderer.Unanswered{
			Order: order.ID,
			Cause: syscall.ECONNREFUSED,
		}
	}
	index := e.find(order.Checkpoint)
	switch {
	case order.Kind == orderer.Load && index < 0:
		return e.load(order)
	case order.Kind == orderer.Unload && index >= 0 && e.copies[index].State == reporter.CopyReady:
		e.addIdleTime(order.Checkpoint)
		e.copies[index].State = reporter.CopyUnloading
		e.fleet.afterFunc(unloadTime, func() { e.remove(order.Checkpoint) })
	}
	return nil
}

// load reserves memory for a copy and reads the checkpoint from disk or from the
// weight store. If the weight store's rate limit refuses the read, the copy is removed.
func (e *engine) load(order orderer.Order) error {
	if e.usedBytes()+order.Bytes > engineBytes {
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
	done := func() { e.markReady(order.Checkpoint) }
	if slices.Contains(e.disk, order.Checkpoint) {
		e.fleet.afterFunc(seconds(float64(order.Bytes)/diskSpeed), done)
		return nil
	}
	if !e.fleet.weightStore.begin(e.fleet.now, e.name, order.Bytes, done) {
		e.remove(order.Checkpoint)
	}
	return nil
}

// markReady marks a loaded copy as ready, if it still exists.
func (e *engine) markReady(checkpoint string) {
	index := e.find(checkpoint)
	if index < 0 {
		return
	}
	e.copies[index].State = reporter.CopyReady
	e.idleSince[checkpoint] = e.fleet.now
	e.addToDiskCache(checkpoint)
	e.onChange()
}

// addToDiskCache adds a checkpoint to the disk cache and evicts the least recently
// loaded ones until the rest fits.
func (e *engine) addToDiskCache(checkpoint string) {
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
	if index := e.find(checkpoint); index >= 0 {
		e.copies = slices.Delete(e.copies, index, index+1)
		e.onChange()
	}
}

// run starts one request on a ready copy, and schedules its end.
func (e *engine) run(checkpoint string) {
	index := e.find(checkpoint)
	e.addIdleTime(checkpoint)
	e.copies[index].Running++
	e.fleet.afterFunc(runTime, func() {
		if index := e.find(checkpoint); index >= 0 && e.copies[index].Running > 0 {
			e.copies[index].Running--
			e.idleSince[checkpoint] = e.fleet.now
		}
	})
}

// addIdleTime adds the time for which a copy has been idle to the idle hours,
// weighted by the copy's share of the engine's memory. The warm-up is not counted.
func (e *engine) addIdleTime(checkpoint string) {
	index := e.find(checkpoint)
	if e.copies[index].Running > 0 {
		return
	}
	since := e.idleSince[checkpoint]
	if since.Before(e.fleet.measuredFrom) {
		since = e.fleet.measuredFrom
	}
	idle := max(0, e.fleet.now.Sub(since).Hours())
	e.fleet.result.IdleHours += idle * float64(e.copies[index].Bytes) / engineBytes
	e.idleSince[checkpoint] = e.fleet.now
}

// crash emulates a crash: copies, loads and requests are lost, and the disk cache
// stays. Only loads from the weight store are cancelled, so the engine must stay
// down for longer than any other scheduled completion of a copy takes.
func (e *engine) crash() {
	for i := range e.copies {
		if e.copies[i].State == reporter.CopyReady {
			e.addIdleTime(e.copies[i].Checkpoint)
		}
	}
	e.fleet.weightStore.cancelLoads(e.fleet.now, e.name)
	e.copies = nil
	e.crashed = true
}

// publish updates the report that instances read. The report of a crashed engine
// stays as it was.
func (e *engine) publish(at time.Time) {
	if e.crashed {
		return
	}
	e.published = reporter.Report{
		Upstream: e.name,
		At:       at,
		Bytes:    engineBytes,
		Used:     e.usedBytes(),
		Slots:    16,
		Copies:   slices.Clone(e.copies),
		Cached:   make(map[string]reporter.Place, len(e.disk)),
	}
	for _, name := range e.disk {
		e.published.Cached[name] = reporter.PlaceDisk
	}
}

// seconds converts a number of seconds to a duration.
func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
