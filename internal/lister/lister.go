// Package lister keeps the list of upstreams that register themselves in the
// store, with what each says of itself.
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

// Row is what one upstream says of itself.
type Row struct {
	// Instance is the upstream.
	Instance storer.Instance
	// Report is its state. Sequence is the store's revision of the entry.
	Report reporter.Report
	// Received is when it was learned.
	Received time.Time
}

// Config is what a Lister needs.
type Config struct {
	// Prefix is what the keys of entries begin with; the rest names the upstream.
	Prefix string
	// Decode reads one entry. An entry that it returns an error for names no upstream.
	Decode func(entry storer.Entry) (Row, error)
	// Return is how long upstreams whose entries lapsed while the store was away
	// have to register again once it is back.
	Return time.Duration
	// Changed is called with the name of each upstream that changed; it must not block.
	Changed func(upstream string)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log gets one line for each upstream that comes, changes its state or goes.
	Log logrus.FieldLogger
}

// Lister holds the list.
type Lister struct {
	config Config

	mu   sync.RWMutex
	rows map[string]Row
	// missing is until when each upstream without an entry is still listed.
	missing map[string]time.Time
	// returned is until when entries may be missing because the store was away.
	returned time.Time
	// list are the upstreams in the order of names; nil if they changed since.
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
	}
}

// Apply takes an update of a follower.
func (l *Lister) Apply(update follower.Update) {
	for _, name := range l.take(update) {
		l.config.Changed(name)
	}
}

// take changes the rows and returns the names of those that changed.
func (l *Lister) take(update follower.Update) []string {
	now := l.config.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if update.Regained {
		l.returned = now.Add(l.config.Return)
	}
	var changed []string
	present := make(map[string]bool, len(update.Entries))
	for _, entry := range update.Entries {
		if !strings.HasPrefix(entry.Key, l.config.Prefix) {
			continue
		}
		name := l.name(entry.Key)
		present[name] = true
		if l.put(now, name, entry) {
			changed = append(changed, name)
		}
	}
	l.renew(now, update.Renewed)
	for _, key := range update.Deleted {
		if name := l.name(key); !present[name] && l.drop(now, name) {
			changed = append(changed, name)
		}
	}
	if update.Whole {
		for name := range l.rows {
			if !present[name] && l.drop(now, name) {
				changed = append(changed, name)
			}
		}
	}
	return changed
}

func (l *Lister) name(key string) string { return strings.TrimPrefix(key, l.config.Prefix) }

// put takes one entry and tells whether it changed the list.
func (l *Lister) put(now time.Time, name string, entry storer.Entry) bool {
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
	old, known := l.rows[name]
	if known && old.Report.Sequence >= row.Report.Sequence {
		return false
	}
	row.Instance.Name = name
	row.Received = now
	if old.Instance != row.Instance {
		l.list = nil
	}
	l.rows[name] = row
	delete(l.missing, name)
	l.describe(known, old, row)
	return true
}

// renew notes that upstreams said the same again.
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

func (l *Lister) describe(known bool, old, row Row) {
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

// drop takes an upstream off the list. One whose entry went while the store
// was away stays until it had time to register again.
func (l *Lister) drop(now time.Time, name string) bool {
	if _, known := l.rows[name]; !known {
		return false
	}
	if now.Before(l.returned) {
		if _, waits := l.missing[name]; !waits {
			l.missing[name] = l.returned
		}
		return false
	}
	l.remove(name, "removed")
	return true
}

func (l *Lister) remove(name, reason string) {
	row := l.rows[name]
	delete(l.rows, name)
	delete(l.missing, name)
	l.list = nil
	l.config.Log.WithFields(logrus.Fields{
		"upstream": row.Instance.Name,
		"service":  row.Instance.Service,
		"revision": row.Report.Sequence,
		"reason":   reason,
	}).Info("upstream.gone")
}

// Upstreams returns the list in the order of names.
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

// expire takes off the list what did not register again in time.
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

// Row returns what the upstream of a name says of itself.
func (l *Lister) Row(name string) (Row, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	row, ok := l.rows[name]
	return row, ok
}

// Report returns the state of an upstream, as router.Config.Report has it.
func (l *Lister) Report(name string) (reporter.Report, time.Time, bool) {
	row, ok := l.Row(name)
	return row.Report, row.Received, ok
}

// Dump returns the state for operators.
func (l *Lister) Dump() any {
	l.mu.RLock()
	defer l.mu.RUnlock()
	rows := make([]Row, 0, len(l.rows))
	for _, name := range slices.Sorted(maps.Keys(l.rows)) {
		rows = append(rows, l.rows[name])
	}
	return rows
}

// Empty tells whether no upstream is listed.
func (l *Lister) Empty() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.rows) == 0
}
