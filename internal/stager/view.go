package stager

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/lister"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// reportLag bounds how old the state in a list entry may be when it is read: engines write
// entries every second or two, and these are read several times a second.
const reportLag = 4 * time.Second

// view is what the holder of a duty knows of one engine. Its lock is held while an order is
// sent, since the next order carries the number of accepted ones.
type view struct {
	mu sync.Mutex
	// start identifies the start of the engine that the view is about.
	start string
	// sequence is the number of orders that the engine has accepted.
	sequence uint64
	// revision is the sequence number of the entry that was applied last.
	revision uint64
	// held is what the engine reported last: its checkpoints, each with its adapters.
	held map[string]map[string]bool
	// reported are the models that the engine's own report showed, each with the time from
	// which on the list entries are newer than that report.
	reported map[string]time.Time
	// changes are the effects of this instance's orders that the entries do not show yet.
	changes []change
	// used is when the load of each adapter was last requested.
	used map[string]time.Time
	// loaded is when an order of this instance loaded each checkpoint.
	loaded map[string]time.Time
	// busyUntil is when the order under way is expected to end; no further order is sent
	// before.
	busyUntil time.Time
	// target is the model that the swap under way loads; empty if there is none.
	target string
	// busy is set if the last report showed an order for a model under way.
	busy bool
	// doubt is set while the sequence is not known: before the first order, and after an order
	// that conflicted or got no answer.
	doubt bool
}

// reserve marks the engine as busy with a swap for a model until a time, unless another swap
// is under way.
func (v *view) reserve(now, until time.Time, checkpoint string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.idle(now) {
		return false
	}
	v.busyUntil = until
	v.target = checkpoint
	return true
}

// change is the effect of one order on the contents of an engine.
type change struct {
	// until is the time from which on entries show the effect. Entries read earlier do not,
	// however long ago they were read.
	until      time.Time
	checkpoint string
	adapter    string
	held       bool
}

// applyEntry takes over the engine's list entry. A restart of the engine resets the view.
func (v *view) applyEntry(row lister.Row) {
	if v.held == nil || v.start != row.Report.Start {
		v.start = row.Report.Start
		v.revision = 0
		v.reported = map[string]time.Time{}
		v.changes = nil
		v.used = map[string]time.Time{}
		v.loaded = map[string]time.Time{}
		v.busyUntil = time.Time{}
		v.doubt = true
	}
	if row.Report.Sequence <= v.revision {
		return
	}
	v.revision = row.Report.Sequence
	v.held = contentsOf(row.Report)
	v.dropReported(row.Received)
}

// applyReport takes over the engine's own report. Since the report contains the sequence, the
// sequence is no longer in doubt.
func (v *view) applyReport(now time.Time, report reporter.Report) {
	v.sequence = report.Orders
	v.held = contentsOf(report)
	v.busy = report.Busy
	v.dropReported(now)
	v.doubt = false
	for checkpoint := range v.held {
		v.reported[checkpoint] = now.Add(reportLag)
	}
}

// idle reports whether another swap may begin: none is under way, and the contents and the
// sequence are known.
func (v *view) idle(now time.Time) bool {
	return v.target == "" && !v.busy && !v.doubt && !now.Before(v.busyUntil)
}

// contentsOf returns the checkpoints of a report with their adapters, including adapters that
// are still being read, since these already take memory.
func contentsOf(report reporter.Report) map[string]map[string]bool {
	contents := make(map[string]map[string]bool, len(report.Copies))
	for _, loaded := range report.Copies {
		adapters := make(map[string]bool, len(loaded.Adapters))
		for _, adapter := range slices.Concat(loaded.Adapters, loaded.Reading) {
			adapters[adapter] = true
		}
		contents[loaded.Checkpoint] = adapters
	}
	return contents
}

// addChange records the effect of an order that will be done at the given time.
func (v *view) addChange(done time.Time, checkpoint, adapter string, held bool) {
	v.changes = append(v.changes, change{
		until:      done.Add(reportLag),
		checkpoint: checkpoint,
		adapter:    adapter,
		held:       held,
	})
}

// contents returns what the engine holds: what it reported, with the effects of later orders.
func (v *view) contents() map[string]map[string]bool {
	current := make(map[string]map[string]bool, len(v.held))
	for checkpoint := range v.reported {
		current[checkpoint] = map[string]bool{}
	}
	for checkpoint, adapters := range v.held {
		current[checkpoint] = make(map[string]bool, len(adapters))
		for adapter := range adapters {
			current[checkpoint][adapter] = true
		}
	}
	for _, c := range v.changes {
		c.apply(current)
	}
	return current
}

// dropReported drops the changes and reported models that entries read at the given time
// already show.
func (v *view) dropReported(read time.Time) {
	maps.DeleteFunc(v.reported, func(_ string, until time.Time) bool { return !read.Before(until) })
	v.changes = slices.DeleteFunc(v.changes, func(c change) bool { return !read.Before(c.until) })
}

// apply adds the effect to the contents of an engine.
func (c change) apply(current map[string]map[string]bool) {
	switch {
	case c.adapter == "" && c.held:
		if current[c.checkpoint] == nil {
			current[c.checkpoint] = map[string]bool{}
		}
	case c.adapter == "":
		delete(current, c.checkpoint)
	case current[c.checkpoint] == nil:
	case c.held:
		current[c.checkpoint][c.adapter] = true
	default:
		delete(current[c.checkpoint], c.adapter)
	}
}

// leastUsed returns the adapter with the least demand; among equals, the one whose load was
// requested longest ago. It returns none whose load was requested within the given time.
func (v *view) leastUsed(now time.Time, rates map[string]float64, current map[string]map[string]bool, recent time.Duration) (checkpoint, adapter string, ok bool) {
	for loaded, adapters := range current {
		for name := range adapters {
			if now.Sub(v.used[name]) < recent || ok && !v.lessUsed(rates, name, adapter) {
				continue
			}
			checkpoint, adapter, ok = loaded, name, true
		}
	}
	return checkpoint, adapter, ok
}

// lessUsed reports whether one adapter is evicted before another.
func (v *view) lessUsed(rates map[string]float64, a, b string) bool {
	if rates[a] != rates[b] {
		return rates[a] < rates[b]
	}
	return v.used[a].Before(v.used[b])
}

// countAdapters returns the number of adapters in the contents of an engine.
func countAdapters(current map[string]map[string]bool) int {
	total := 0
	for _, adapters := range current {
		total += len(adapters)
	}
	return total
}
