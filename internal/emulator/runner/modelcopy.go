package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/emulator/faulter"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

// modelCopy is one copy of a checkpoint in the engine's memory, which is loading, ready or unloading.
type modelCopy struct {
	owner      *Runner
	checkpoint string
	bytes      int64
	state      reporter.CopyState
	// order is the id of the order that loaded the copy.
	order string
	// adapters maps the loaded adapters, and reading those being read, to their sizes in bytes.
	adapters map[string]int64
	reading  map[string]int64
	// running is the number of requests that use the copy.
	running int
}

// serveLoadModel carries out an order to load a checkpoint; it answers when the load begins.
func (r *Runner) serveLoadModel(w http.ResponseWriter, request *http.Request) {
	r.serveOrder(w, request, r.beginLoad)
}

// beginLoad reserves a copy's memory and starts the read. A checkpoint that is
// already present is accepted, and one beyond the memory is refused and counted
// as excess. The caller holds the lock.
func (r *Runner) beginLoad(o order) int {
	if _, ok := r.copies[o.Checkpoint]; ok {
		return r.recordStatus(o, http.StatusAccepted)
	}
	if r.used+o.Bytes > r.config.MemoryBytes {
		r.excess++
		return r.recordStatus(o, http.StatusInsufficientStorage)
	}
	created := &modelCopy{
		owner:      r,
		checkpoint: o.Checkpoint,
		bytes:      o.Bytes,
		state:      reporter.CopyLoading,
		order:      o.id,
		adapters:   map[string]int64{},
		reading:    map[string]int64{},
	}
	r.copies[o.Checkpoint] = created
	r.used += o.Bytes
	r.peak = max(r.peak, r.used)
	go created.run(r.startContext, r.sourcePlace(o.Checkpoint))
	return r.recordStatus(o, http.StatusAccepted)
}

// sourcePlace returns the place from which the checkpoint is read.
func (r *Runner) sourcePlace(checkpoint string) reporter.Place {
	if place, ok := r.cached[checkpoint]; ok {
		return place
	}
	return reporter.PlaceRemote
}

// run reads the checkpoint and makes the copy ready; a remote checkpoint is on
// disk afterwards. With the fault Die, the engine dies after half the time that
// a read from disk or host memory takes.
func (c *modelCopy) run(ctx context.Context, place reporter.Place) {
	r := c.owner
	if _, ok := r.faults.Take(faulter.Die); ok {
		_ = sleep(ctx, c.readTime(place)/2)
		r.Die()
		return
	}
	err := c.read(ctx, place)
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if err != nil || c.state != reporter.CopyLoading {
		r.removeCopy(c)
		return
	}
	c.state = reporter.CopyReady
	if place == reporter.PlaceRemote {
		r.cached[c.checkpoint] = reporter.PlaceDisk
	}
}

// read takes as long as reading the checkpoint from the place.
func (c *modelCopy) read(ctx context.Context, place reporter.Place) error {
	if place == reporter.PlaceRemote && c.owner.config.Fetch != nil {
		return c.owner.config.Fetch(ctx, c.checkpoint, c.bytes)
	}
	return sleep(ctx, c.readTime(place))
}

// readTime returns the duration of a read from host memory or, for any other place, from disk.
func (c *modelCopy) readTime(place reporter.Place) time.Duration {
	speed := c.owner.config.DiskBytesPerSecond
	if place == reporter.PlaceMemory {
		speed = c.owner.config.MemoryBytesPerSecond
	}
	if speed == 0 {
		return 0
	}
	return time.Duration(float64(c.bytes) / float64(speed) * float64(time.Second))
}

// removeCopy removes a copy and frees its memory. The caller holds the lock.
func (r *Runner) removeCopy(c *modelCopy) {
	if r.copies[c.checkpoint] == c {
		delete(r.copies, c.checkpoint)
		r.used -= c.bytes
	}
}

// serveUnloadModel carries out an order to unload a checkpoint; it succeeds also if there is no copy.
func (r *Runner) serveUnloadModel(w http.ResponseWriter, request *http.Request) {
	r.serveOrder(w, request, func(o order) int {
		r.unload(o.Checkpoint)
		return r.recordStatus(o, http.StatusAccepted)
	})
}

// unload drops a copy as soon as no request runs on it. A copy that is still
// loading is dropped when its read ends. The caller holds the lock.
func (r *Runner) unload(checkpoint string) {
	target, ok := r.copies[checkpoint]
	if !ok {
		return
	}
	loading := target.state == reporter.CopyLoading
	target.state = reporter.CopyUnloading
	if target.running == 0 && !loading {
		r.removeCopy(target)
	}
}

// sleep waits for the duration. It returns the context's error if that ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	if !waiter.Pause(ctx, duration) {
		return ctx.Err()
	}
	return nil
}
