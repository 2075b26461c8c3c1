package relayer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// maxUpdates is the number of updates in a history. An instance that queries once per pause needs
// only the last few, and one that was silent for longer gets the complete state.
const maxUpdates = 32

// history is this instance's copy of the store's entries, with the last updates to it.
type history struct {
	entries map[string]storer.Entry
	updates []follower.Update
	// base is the revision after which updates holds every change.
	base storer.Revision
	// revision is the revision of the state; zero if nothing was read yet.
	revision storer.Revision
	// asOf is the time at which the store confirmed that the state was current.
	asOf time.Time
	// recovered is the revision at which the store was last reachable again after an outage; zero if
	// there was none.
	recovered storer.Revision
}

// add adds an update that the store returned at the given time. Updates older than the state are
// ignored.
func (h *history) add(update follower.Update, asOf time.Time) {
	if update.Revision < h.revision {
		return
	}
	if asOf.After(h.asOf) {
		h.asOf = asOf
	}
	if update.Complete {
		h.entries = make(map[string]storer.Entry, len(update.Entries))
		h.updates = nil
		h.base = update.Revision
	}
	for _, entry := range update.Entries {
		h.entries[entry.Key] = entry
	}
	for _, renewal := range update.Renewed {
		if entry, ok := h.entries[renewal.Key]; ok {
			entry.Revision = renewal.Revision
			h.entries[renewal.Key] = entry
		}
	}
	for _, key := range update.Deleted {
		delete(h.entries, key)
	}
	h.revision = update.Revision
	if update.Recovered {
		h.recovered = update.Revision
	}
	if update.Complete || isEmpty(update) {
		return
	}
	h.updates = append(h.updates, update)
	if len(h.updates) > maxUpdates {
		h.base = h.updates[0].Revision
		h.updates = slices.Delete(h.updates, 0, 1)
	}
}

// isEmpty reports whether an update changes no entry.
func isEmpty(update follower.Update) bool {
	return len(update.Entries)+len(update.Renewed)+len(update.Deleted) == 0
}

// since returns one update with all changes after a revision, or with the complete state if that is
// requested or the history does not reach back far enough.
func (h *history) since(after storer.Revision, complete, renewals bool) follower.Update {
	merged := follower.Update{
		Revision: h.revision,
	}
	if !complete && after >= h.revision {
		return merged
	}
	merged.Recovered = h.recovered > after
	if complete || after < h.base {
		merged.Complete = true
		merged.Entries = slices.SortedFunc(maps.Values(h.entries), compareKeys)
		return merged
	}
	m := merger{
		entries: map[string]storer.Entry{},
		renewed: map[string]storer.Revision{},
		deleted: map[string]bool{},
	}
	for _, update := range h.updates {
		if update.Revision > after {
			m.add(update)
		}
	}
	merged.Entries = slices.SortedFunc(maps.Values(m.entries), compareKeys)
	merged.Deleted = slices.Sorted(maps.Keys(m.deleted))
	if renewals {
		for _, key := range slices.Sorted(maps.Keys(m.renewed)) {
			merged.Renewed = append(merged.Renewed, follower.Renewal{
				Key:      key,
				Revision: m.renewed[key],
			})
		}
	}
	return merged
}

func compareKeys(a, b storer.Entry) int { return strings.Compare(a.Key, b.Key) }

// merger combines consecutive updates. For each key the last one counts.
type merger struct {
	entries map[string]storer.Entry
	renewed map[string]storer.Revision
	deleted map[string]bool
}

func (m *merger) add(update follower.Update) {
	for _, entry := range update.Entries {
		m.entries[entry.Key] = entry
		delete(m.renewed, entry.Key)
		delete(m.deleted, entry.Key)
	}
	for _, renewal := range update.Renewed {
		if entry, ok := m.entries[renewal.Key]; ok {
			entry.Revision = renewal.Revision
			m.entries[renewal.Key] = entry
			continue
		}
		m.renewed[renewal.Key] = renewal.Revision
	}
	for _, key := range update.Deleted {
		m.deleted[key] = true
		delete(m.entries, key)
		delete(m.renewed, key)
	}
}
