package stager

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/lister"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// settling is how old what the engine says of itself may be when it is read:
// entries come every second or two, and are read some times a second.
const settling = 4 * time.Second

// book is what the holder of a duty knows of one engine. Its lock is held
// through an order, since the number of accepted orders is part of the next one.
type book struct {
	mu    sync.Mutex
	start string
	// sequence is the number of orders that the engine has accepted.
	sequence uint64
	// revision is that of the entry that was read last.
	revision uint64
	// held is what the engine said that it holds.
	held map[string]map[string]bool
	// seen are the models that the engine's own report showed, each with the time
	// from which what the engine says elsewhere is newer.
	seen map[string]time.Time
	// changes are what orders of this instance changed since.
	changes []change
	// used is when the load of each adapter was asked for last.
	used map[string]time.Time
	// loaded is when each checkpoint was loaded here by an order.
	loaded map[string]time.Time
	// until is when the order for a checkpoint that is under way will be done.
	until time.Time
	// target is the model that a swap under way is to load; empty if there is none.
	target string
	// busy is set if an order for a model was under way by the last report.
	busy bool
	// doubt is set while the sequence is not known: before the first order, and
	// after one that conflicted or was not answered.
	doubt bool
}

// reserve begins a swap for a model that should be done at a time, unless
// another one has begun.
func (b *book) reserve(now, until time.Time, checkpoint string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open(now) {
		return false
	}
	b.until = until
	b.target = checkpoint
	return true
}

// change is what one order changed.
type change struct {
	// until is the time from which what the engine says shows it. What was read
	// before does not, however long ago that was.
	until      time.Time
	checkpoint string
	adapter    string
	held       bool
}

// learn takes what the engine says of itself.
func (b *book) learn(row lister.Row) {
	if b.held == nil || b.start != row.Report.Start {
		b.start = row.Report.Start
		b.revision = 0
		b.seen = map[string]time.Time{}
		b.changes = nil
		b.used = map[string]time.Time{}
		b.loaded = map[string]time.Time{}
		b.until = time.Time{}
		b.doubt = true
	}
	if row.Report.Sequence <= b.revision {
		return
	}
	b.revision = row.Report.Sequence
	b.held = copies(row.Report)
	b.forget(row.Received)
}

// read takes the engine's own report, which settles a doubt.
func (b *book) read(now time.Time, report reporter.Report) {
	b.sequence = report.Orders
	b.held = copies(report)
	b.busy = report.Busy
	b.forget(now)
	b.doubt = false
	for checkpoint := range b.held {
		b.seen[checkpoint] = now.Add(settling)
	}
}

// open reports whether another swap may begin: none is under way, and what the
// engine holds is known.
func (b *book) open(now time.Time) bool {
	return b.target == "" && !b.busy && !b.doubt && !now.Before(b.until)
}

func copies(report reporter.Report) map[string]map[string]bool {
	held := make(map[string]map[string]bool, len(report.Copies))
	for _, one := range report.Copies {
		adapters := make(map[string]bool, len(one.Adapters))
		for _, adapter := range slices.Concat(one.Adapters, one.Reading) {
			adapters[adapter] = true
		}
		held[one.Checkpoint] = adapters
	}
	return held
}

// note remembers what an order changes that is done at a time.
func (b *book) note(done time.Time, checkpoint, adapter string, held bool) {
	b.changes = append(b.changes, change{
		until:      done.Add(settling),
		checkpoint: checkpoint,
		adapter:    adapter,
		held:       held,
	})
}

// contents is what the engine holds: what it said, with the changes since.
func (b *book) contents() map[string]map[string]bool {
	current := make(map[string]map[string]bool, len(b.held))
	for checkpoint := range b.seen {
		current[checkpoint] = map[string]bool{}
	}
	for checkpoint, adapters := range b.held {
		current[checkpoint] = make(map[string]bool, len(adapters))
		for adapter := range adapters {
			current[checkpoint][adapter] = true
		}
	}
	for _, one := range b.changes {
		one.apply(current)
	}
	return current
}

// forget drops what entries read at a time show by themselves.
func (b *book) forget(read time.Time) {
	maps.DeleteFunc(b.seen, func(_ string, until time.Time) bool { return !read.Before(until) })
	b.changes = slices.DeleteFunc(b.changes, func(one change) bool { return !read.Before(one.until) })
}

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

// idlest returns the adapter with the least demand, and of several the one that
// was loaded here longest ago; but none that was asked for within the given time.
func (b *book) idlest(now time.Time, rates map[string]float64, current map[string]map[string]bool, fresh time.Duration) (checkpoint, adapter string, ok bool) {
	for held, adapters := range current {
		for one := range adapters {
			if now.Sub(b.used[one]) < fresh || ok && !b.idler(rates, one, adapter) {
				continue
			}
			checkpoint, adapter, ok = held, one, true
		}
	}
	return checkpoint, adapter, ok
}

// idler tells whether one adapter goes before another one.
func (b *book) idler(rates map[string]float64, one, other string) bool {
	if rates[one] != rates[other] {
		return rates[one] < rates[other]
	}
	return b.used[one].Before(b.used[other])
}

func count(current map[string]map[string]bool) int {
	total := 0
	for _, adapters := range current {
		total += len(adapters)
	}
	return total
}
