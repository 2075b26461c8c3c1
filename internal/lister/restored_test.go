package lister_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// restored returns the update with which a store that was restored from a copy is read.
func restored(entries ...storer.Entry) follower.Update {
	for i := range entries {
		entries[i].Revision = storer.NewRevision(1, uint64(entries[i].Revision))
	}
	return follower.Update{
		Complete: true,
		Restored: true,
		Entries:  entries,
	}
}

// TestCopyDoesNotBringUpstreamsBack guards against an upstream that was leaving, gone or started anew, and is used again in
// its former state because a copy of the store has an older entry.
func TestCopyDoesNotBringUpstreamsBack(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Apply(follower.Update{
		Entries: []storer.Entry{
			entry("draining", "leaving 1000 8", 11), entry("gone", "ready 1000 9", 12),
			entry("anew", "ready 2000 1", 13), entry("same", "ready 1000 7", 14),
		},
	})
	f.Apply(follower.Update{
		Deleted: []string{"up/gone"},
	})
	f.now = f.now.Add(5 * time.Second)
	f.Apply(restored(
		entry("draining", "ready 1000 6", 6), entry("gone", "ready 1000 7", 7),
		entry("anew", "ready 999 40", 8), entry("same", "ready 1000 7", 9),
	))
	is.Equal(f.names(), []string{"anew", "draining", "same"})
	row, _ := f.Row("draining")
	is.True(row.Instance.Leaving) // DRAIN
	row, _ = f.Row("anew")
	is.Equal(row.Report.Start, "2000")
}

// TestUpstreamsWriteAgainAfterARestoration guards against an upstream that stays in the state which it had before a
// restoration, or that is not listed although it writes its entry again.
func TestUpstreamsWriteAgainAfterARestoration(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Apply(follower.Update{
		Entries: []storer.Entry{entry("a", "ready 1000 8", 11), entry("lost", "ready 1000 1", 12), entry("b", "ready 1000 3", 13)},
	})
	f.Apply(follower.Update{
		Deleted: []string{"up/b"},
	})
	f.Apply(restored(entry("a", "ready 1000 6", 6), entry("b", "ready 1000 2", 7)))
	is.Equal(f.names(), []string{"a", "lost"}) // upstreams have time to register again
	again := []storer.Entry{entry("a", "leaving 1000 9", 0), entry("lost", "ready 1000 2", 0), entry("b", "ready 1000 4", 0)}
	for i := range again {
		again[i].Revision = storer.NewRevision(1, uint64(8+i)) // the numbers of other writes before
	}
	f.Apply(follower.Update{
		Entries: again,
	})
	f.now = f.now.Add(3 * time.Second)
	is.Equal(f.names(), []string{"a", "b", "lost"})
	row, _ := f.Row("a")
	is.True(row.Instance.Leaving)
	f.Apply(restored())
	f.now = f.now.Add(3 * time.Second)
	is.Equal(f.names(), []string{}) // still missing
}
