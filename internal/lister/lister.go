// Package lister maintains the list of upstreams that register themselves in the store, with the
// state that each reports. The instances of this system are listed in the same way, see package
// enlister.
package lister

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Lister maintains the list of upstreams with a common key prefix, from the updates of a follower.
type Lister struct {
	config Config

	mu   sync.RWMutex
	rows map[string]Row
	// missing holds the time until which each upstream whose entry was deleted remains listed.
	missing map[string]time.Time
	// gone holds the last rows of upstreams that were removed, since a copy of the store may still have them.
	gone map[string]goneRow
	// graceEnd is the time until which deleted entries may be due to an outage of the store.
	graceEnd time.Time
	// list holds the upstreams sorted by name; nil if they changed since.
	list []storer.Instance
}

// New returns an empty Lister.
func New(config Config) *Lister {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Changed == nil {
		config.Changed = func(string) {}
	}
	return &Lister{
		config:  config,
		rows:    map[string]Row{},
		missing: map[string]time.Time{},
		gone:    map[string]goneRow{},
	}
}

// Apply applies an update of a follower.
func (l *Lister) Apply(update follower.Update) {
	for _, name := range l.updateRows(update) {
		l.config.Changed(name)
	}
}

// updateRows changes the rows and returns the names of the upstreams that changed.
func (l *Lister) updateRows(update follower.Update) []string {
	now := l.config.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if update.Recovered || update.Restored {
		l.graceEnd = l.endOfGrace(now, update.UnreachableAt)
	}
	var changed []string
	present := make(map[string]bool, len(update.Entries))
	for _, entry := range update.Entries {
		if !strings.HasPrefix(entry.Key, l.config.Prefix) {
			continue
		}
		name := l.name(entry.Key)
		present[name] = true
		if l.put(now, name, entry, update.Restored) {
			changed = append(changed, name)
		}
	}
	l.renew(now, update.Renewed)
	return append(changed, l.dropAbsent(now, update, present)...)
}

// endOfGrace returns the time until which upstreams that are missing stay listed after a recovery of the store.
func (l *Lister) endOfGrace(now, unreachableAt time.Time) time.Time {
	end := now.Add(l.config.ReregisterGrace)
	if limit := unreachableAt.Add(l.config.GraceLimit); l.config.GraceLimit > 0 && !unreachableAt.IsZero() && limit.Before(end) {
		return limit
	}
	return end
}

// dropAbsent removes the upstreams whose entries an update deletes or, if it is complete, lacks, and returns their names.
func (l *Lister) dropAbsent(now time.Time, update follower.Update, present map[string]bool) []string {
	names := make([]string, 0, len(update.Deleted))
	for _, key := range update.Deleted {
		names = append(names, l.name(key))
	}
	if update.Complete {
		names = slices.AppendSeq(names, maps.Keys(l.rows))
	}
	return slices.DeleteFunc(names, func(name string) bool { return present[name] || !l.drop(now, name) })
}

// name returns the name of the upstream that a key belongs to.
func (l *Lister) name(key string) string { return strings.TrimPrefix(key, l.config.Prefix) }

// put applies one entry and reports whether it changed the list. An entry that cannot be decoded is
// handled as a deleted one. An entry of a restored store is ignored if it is older than what was known.
func (l *Lister) put(now time.Time, name string, entry storer.Entry, restored bool) bool {
	row, err := l.config.Decode(entry)
	if err != nil {
		metrics.GetOrCreateCounter(`buckthorngap_list_unreadable_total`).Inc()
		l.config.Log.WithFields(logrus.Fields{
			"entry":    entry.Key,
			"revision": entry.Revision,
			"error":    err,
		}).Warn("upstream.unreadable")
		return l.drop(now, name)
	}
	row.Instance.Name = name
	row = l.keepDeparture(name, row)
	old, known := l.rows[name]
	if known && old.Report.Sequence >= row.Report.Sequence {
		return false
	}
	if restored && l.outdated(now, name, row) {
		l.config.Log.WithFields(logrus.Fields{
			"upstream": name,
			"start":    row.Report.Start,
			"writes":   row.Writes,
			"known":    old.Writes,
			"listed":   known,
			"revision": entry.Revision,
		}).Info("upstream.outdated")
		return false
	}
	row.Received = now
	if old.Instance != row.Instance {
		l.list = nil
	}
	l.rows[name] = row
	delete(l.missing, name)
	delete(l.gone, name)
	l.logChange(known, old, row)
	return true
}

// outdated reports whether a row of a restored store is older than what is known of the upstream, which includes that it
// has gone.
func (l *Lister) outdated(now time.Time, name string, row Row) bool {
	if old, known := l.rows[name]; known {
		return row.precedes(old)
	}
	gone, known := l.gone[name]
	return known && now.Before(gone.until) && (row.precedes(gone.row) || row.Report.Start == gone.row.Report.Start && row.Writes == gone.row.Writes)
}

// renew updates the revisions of entries that were rewritten unchanged.
func (l *Lister) renew(now time.Time, renewals []follower.Renewal) {
	for _, renewal := range renewals {
		name, ok := strings.CutPrefix(renewal.Key, l.config.Prefix)
		row, known := l.rows[name]
		if !ok || !known || row.Report.Sequence >= uint64(renewal.Revision) {
			continue
		}
		row.Report.Sequence = uint64(renewal.Revision)
		row.Received = now
		l.rows[name] = row
	}
}

// logChange logs an upstream that is new, restarted or registered differently.
func (l *Lister) logChange(known bool, old, row Row) {
	if known && old.Instance == row.Instance && old.Report.Start == row.Report.Start {
		return
	}
	l.config.Log.WithFields(logrus.Fields{
		"upstream": row.Instance.Name,
		"service":  row.Instance.Service,
		"domain":   row.Instance.Domain,
		"address":  row.Instance.Address,
		"leaving":  row.Instance.Leaving,
		"start":    row.Report.Start,
		"revision": row.Report.Sequence,
	}).Info("upstream.listed")
}

// drop removes an upstream whose entry is gone, and reports whether it did. Shortly after an outage
// of the store it keeps the upstream listed until that has had time to register again.
func (l *Lister) drop(now time.Time, name string) bool {
	if _, known := l.rows[name]; !known {
		return false
	}
	if now.Before(l.graceEnd) {
		if _, missing := l.missing[name]; !missing {
			l.missing[name] = l.graceEnd
		}
		return false
	}
	l.remove(name, "removed")
	return true
}

// remove removes an upstream at once.
func (l *Lister) remove(name, reason string) {
	row := l.rows[name]
	delete(l.rows, name)
	delete(l.missing, name)
	l.remember(row)
	l.list = nil
	l.config.Log.WithFields(logrus.Fields{
		"upstream": row.Instance.Name,
		"service":  row.Instance.Service,
		"revision": row.Report.Sequence,
		"reason":   reason,
	}).Info("upstream.gone")
}

// remember keeps the row of an upstream that was removed, and forgets those that no copy of the store can still have.
func (l *Lister) remember(row Row) {
	now := l.config.Now()
	maps.DeleteFunc(l.gone, func(_ string, gone goneRow) bool { return !now.Before(gone.until) })
	if len(l.gone) < maxGone {
		l.gone[row.Instance.Name] = goneRow{
			row:   row,
			until: now.Add(maxCopyAge),
		}
	}
}

// Upstreams returns the listed upstreams sorted by name.
func (l *Lister) Upstreams() []storer.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	if l.list == nil {
		l.list = make([]storer.Instance, 0, len(l.rows))
		for _, name := range slices.Sorted(maps.Keys(l.rows)) {
			l.list = append(l.list, l.rows[name].Instance)
		}
	}
	return slices.Clone(l.list)
}

// expire removes upstreams that did not register again in time.
func (l *Lister) expire() {
	if len(l.missing) == 0 {
		return
	}
	now := l.config.Now()
	for name, until := range l.missing {
		if !now.Before(until) {
			l.remove(name, "missing after the store's return")
		}
	}
}

// Row returns the named upstream's entry in the list.
func (l *Lister) Row(name string) (Row, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	row, ok := l.rows[name]
	return row, ok
}

// Report returns the reported state of an upstream and when it was received. It suits
// router.Config.Report.
func (l *Lister) Report(name string) (reporter.Report, time.Time, bool) {
	row, ok := l.Row(name)
	return row.Report, row.Received, ok
}

// Dump returns the rows for operators.
func (l *Lister) Dump() any {
	l.mu.RLock()
	defer l.mu.RUnlock()
	rows := make([]Row, 0, len(l.rows))
	for _, name := range slices.Sorted(maps.Keys(l.rows)) {
		rows = append(rows, l.rows[name])
	}
	return rows
}

// Empty reports whether no upstream is listed.
func (l *Lister) Empty() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.rows) == 0
}
