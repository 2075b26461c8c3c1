package relayer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// kept is how many updates a history holds: an instance that asks in each pause
// needs the last few, and one that was silent for longer gets everything.
const kept = 32

// history is what an instance knows of the store: the state, and the last updates
// to it.
type history struct {
	entries map[string]storer.Entry
	updates []follower.Update
	// base is the revision from which on the updates are complete.
	base storer.Revision
	// revision is that of the state; zero if nothing was read.
	revision storer.Revision
	// heard is when the store said so.
	heard time.Time
	// regained is the revision at which the store was back last; zero if it never was away.
	regained storer.Revision
}

// take adds an update that the store gave at a time.
func (h *history) take(update follower.Update, heard time.Time) {
	if update.Revision < h.revision {
		return
	}
	h.heard = heard
	if update.Whole {
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
	if update.Regained {
		h.regained = update.Revision
	}
	if update.Whole || empty(update) {
		return
	}
	h.updates = append(h.updates, update)
	if len(h.updates) > kept {
		h.base = h.updates[0].Revision
		h.updates = slices.Delete(h.updates, 0, 1)
	}
}

func empty(update follower.Update) bool {
	return len(update.Entries)+len(update.Renewed)+len(update.Deleted) == 0
}

// since returns one update for all that came after a revision, or everything if
// that is asked for or the history does not reach back so far.
func (h *history) since(after storer.Revision, whole, renewals bool) follower.Update {
	merged := follower.Update{
		Revision: h.revision,
	}
	if !whole && after >= h.revision {
		return merged
	}
	merged.Regained = h.regained > after
	if whole || after < h.base {
		merged.Whole = true
		merged.Entries = slices.SortedFunc(maps.Values(h.entries), byKey)
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
	merged.Entries = slices.SortedFunc(maps.Values(m.entries), byKey)
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

func byKey(a, b storer.Entry) int { return strings.Compare(a.Key, b.Key) }

// merger puts updates together, the last of which counts for each key.
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
