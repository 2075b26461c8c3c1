package stager

import (
	"slices"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/lister"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// reportLag bounds the age of the state in a list entry when the entry is read: engines write
// entries every second or two, and these are read several times a second.
const reportLag = 4 * time.Second

// maxReportAge bounds the age of the state in an engine's own report, which is some hundred ms.
const maxReportAge = time.Second

// view is what the holder of a duty knows of one engine. Its lock is held while an order is
// sent, since the next order carries the number of accepted ones.
type view struct {
	mu sync.Mutex
	// start identifies the start of the engine; it differs after a restart.
	start string
	// epoch is the epoch of the last order.
	epoch uint64
	// sequence is the number of orders that the engine has accepted, as far as that is proven: it may be lower, but never
	// higher than the engine's.
	sequence uint64
	// provenUntil is until when a report with a lower sequence is taken for an older one.
	provenUntil time.Time
	// conflictSequence is the sequence of the last order that conflicted. Until conflictUntil no order names it again, since
	// reports may be older than the conflict.
	conflictSequence uint64
	conflictUntil    time.Time
	// settled is set once the engine accepted a load of this term, until it accepts an unload that waits: it carries out no
	// other order that a conflict could be due to.
	settled bool
	// mayBeNext is set while the engine may have counted the last unload, of an adapter that was surely loaded, and nothing else.
	mayBeNext bool
	// countsUnloads is set once the engine has shown that it counts unloads that it does at once.
	countsUnloads bool
	// brought are the adapters that are surely loaded: accepted orders of this term loaded them, and no order since can have
	// dropped them.
	brought map[string]bool
	// open are the orders whose outcome is not known. They outlive a restart of the engine, since it may keep its name.
	open []openOrder
	// entrySequence is the sequence number of the list entry that was applied last.
	entrySequence uint64
	// held are the checkpoints that the engine reported last, each with its adapters.
	held contents
	// reported are the checkpoints and adapters that the engine's own report showed last, with the effects of the later orders
	// that are no longer pending. List entries are expected to show them from reportedUntil.
	reported         contents
	reportedUntil    time.Time
	reportedSequence uint64
	// ordered is the sequence that the last order named.
	ordered uint64
	// pending are the effects of this instance's orders that list entries do not show yet.
	pending []pendingChange
	// requested is when the load of each adapter was last requested.
	requested map[string]time.Time
	// loadedAt is when an order of this instance loaded each checkpoint.
	loadedAt map[string]time.Time
	// busyUntil is when the order under way is expected to end; no further order is sent
	// before.
	busyUntil time.Time
	// loadingModel is the model that the swap under way loads; empty if there is none.
	loadingModel string
	// busy is set if the last report showed an order for a model under way.
	busy bool
	// sequenceUnknown is set before the first order, and after an order that conflicted or got
	// no answer.
	sequenceUnknown bool
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
	v.loadingModel = checkpoint
	return true
}

// applyEntry updates the view from the engine's list entry. A restart of the engine resets the
// view.
func (v *view) applyEntry(row lister.Row) {
	if v.held == nil || v.start != row.Report.Start {
		v.start = row.Report.Start
		v.entrySequence = 0
		v.reported = nil
		v.pending = nil
		v.requested = map[string]time.Time{}
		v.loadedAt = map[string]time.Time{}
		v.busyUntil = time.Time{}
		v.brought = map[string]bool{}
		v.settled, v.mayBeNext, v.countsUnloads = false, false, false
		v.provenUntil, v.conflictUntil = time.Time{}, time.Time{}
		v.sequenceUnknown = true
	}
	if row.Report.Sequence <= v.entrySequence {
		return
	}
	v.entrySequence = row.Report.Sequence
	v.held = contentsOf(row.Report)
	v.confirm(row.Received)
}

// outdated reports whether a report is older than the last order that the engine counted.
func (v *view) outdated(now time.Time, report reporter.Report) bool {
	return report.Start == v.start && report.Orders < v.sequence && now.Before(v.provenUntil)
}

// conflicts reports whether an order would name again the sequence that conflicted just now.
func (v *view) conflicts(now time.Time) bool {
	return v.sequence == v.conflictSequence && now.Before(v.conflictUntil)
}

// applyReport updates the view from the engine's own report, which contains the sequence.
func (v *view) applyReport(now time.Time, report reporter.Report) {
	v.sequence, v.mayBeNext = report.Orders, false
	v.held = contentsOf(report)
	v.busy = report.Busy
	v.pending = slices.DeleteFunc(v.pending, func(c pendingChange) bool { return !now.Before(c.shownFrom) })
	v.sequenceUnknown = false
	v.reported, v.reportedUntil, v.reportedSequence = v.held, now.Add(reportLag), report.Orders
}

// idle reports whether another swap may begin: none is under way, and the contents and the
// sequence are known.
func (v *view) idle(now time.Time) bool {
	return v.loadingModel == "" && !v.busy && !v.sequenceUnknown && !now.Before(v.busyUntil)
}

// addPending records the effect of an order that takes effect at the given time.
func (v *view) addPending(done time.Time, checkpoint, adapter string, held bool) {
	v.pending = append(v.pending, pendingChange{
		shownFrom:  done.Add(reportLag),
		sequence:   v.ordered,
		checkpoint: checkpoint,
		adapter:    adapter,
		held:       held,
	})
}

// contents returns what the engine holds: what it reported itself or by its entry, with the effects of later orders. A report may
// show again what an earlier order dropped, as a late order has loaded it.
func (v *view) contents() contents {
	return union(union(v.reported).with(v.unreported(v.pending)), union(v.held).with(v.pending))
}

// unreported returns the changes that the engine's own report was too early to show.
func (v *view) unreported(changes []pendingChange) []pendingChange {
	var later []pendingChange
	for _, c := range changes {
		if !c.shownBy(v.reportedSequence) {
			later = append(later, c)
		}
	}
	return later
}

// confirm drops the changes that an entry read at the given time has to show, if it does. An entry that shows neither them nor
// what was reported was written before that, or something else has changed, and the engine's own report has to be read. What was
// reported is kept all the same, since an entry that was held up may show the same by chance.
func (v *view) confirm(read time.Time) {
	if !read.Before(v.reportedUntil) && !v.contents().equal(union(v.held).with(v.pending)) {
		v.sequenceUnknown = true
	}
	due := func(c pendingChange) bool { return !read.Before(c.shownFrom) }
	var shown []pendingChange
	for _, c := range v.pending {
		if due(c) {
			shown = append(shown, c)
		}
	}
	if union(v.held).with(shown).equal(v.held) {
		v.reported = union(v.reported).with(v.unreported(shown))
		v.pending = slices.DeleteFunc(v.pending, due)
		return
	}
	v.sequenceUnknown = true
}

// leastUsed returns the adapter with the least demand; among equals, the one whose load was
// requested longest ago. It returns none whose load was requested within the given time.
func (v *view) leastUsed(now time.Time, rates map[string]float64, current map[string]map[string]bool, recent time.Duration) (checkpoint, adapter string, ok bool) {
	for loaded, adapters := range current {
		for name := range adapters {
			if now.Sub(v.requested[name]) < recent || ok && !v.evictBefore(rates, name, adapter) {
				continue
			}
			checkpoint, adapter, ok = loaded, name, true
		}
	}
	return checkpoint, adapter, ok
}

// evictBefore reports whether adapter a is evicted before adapter b.
func (v *view) evictBefore(rates map[string]float64, a, b string) bool {
	if rates[a] != rates[b] {
		return rates[a] < rates[b]
	}
	return v.requested[a].Before(v.requested[b])
}
