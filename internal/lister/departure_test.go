package lister_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/drainer"
	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// leaving reports whether an upstream is listed as leaving.
func (f *fixture) leaving(name string) bool {
	row, known := f.Row(name)
	return known && row.Instance.Leaving && row.Report.Leaving
}

// TestDepartureOutlastsEntries guards against an upstream that has told that it leaves, and that is used again because the
// store lists it as ready, lists it again after an outage, or is restored from a copy.
func TestDepartureOutlastsEntries(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Apply(follower.Update{
		Entries: []storer.Entry{entry("a", "ready 1000 1", 1), entry("b", "ready 1000 1", 2)},
	})
	departure := drainer.Departure{
		Upstream: "a",
		Start:    "1000",
	}
	is.True(f.Leave(departure))
	is.True(!f.Leave(departure)) // it is known
	is.True(f.leaving("a"))
	is.True(f.Upstreams()[0].Leaving)
	is.True(!f.leaving("b"))
	f.Apply(follower.Update{
		Entries: []storer.Entry{entry("a", "ready 1000 2", 3)},
	})
	is.True(f.leaving("a")) // DRAIN
	f.Apply(follower.Update{
		Deleted: []string{"up/a"},
	})
	f.now = f.now.Add(5 * time.Second)
	f.Apply(follower.Update{
		Entries: []storer.Entry{entry("a", "ready 1000 3", 4)},
	})
	is.True(f.leaving("a")) // DRAIN
	f.Apply(restored(entry("a", "ready 1000 1", 1), entry("b", "ready 1000 1", 2)))
	is.True(f.leaving("a")) // DRAIN
	is.True(!f.leaving("b"))
}

// TestDepartureIsOfOneStart guards against another start of an upstream, or the same one at another address, that is taken for
// the one that has left.
func TestDepartureIsOfOneStart(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Apply(follower.Update{
		Entries: []storer.Entry{entry("a", "ready 1000 1", 1)},
	})
	is.True(!f.Leave(drainer.Departure{
		Upstream: "a",
		Start:    "999",
	}))
	is.True(!f.Leave(drainer.Departure{
		Upstream: "b",
		Start:    "1000",
	}))
	is.True(!f.leaving("a"))
	is.True(f.Leave(drainer.Departure{
		Upstream: "a",
		Start:    "1000",
	}))
	f.Apply(follower.Update{
		Entries: []storer.Entry{entry("a", "ready 2000 1", 2)},
	})
	is.True(!f.leaving("a"))
	is.True(!f.Leave(drainer.Departure{
		Upstream: "a",
		Start:    "1000",
	})) // told by an instance that was slow
	is.True(!f.leaving("a"))
}

// TestDepartureOfALeavingUpstreamIsNoNews guards against departures that are passed on although the store lists the upstream as
// leaving, and against a later entry that takes that back.
func TestDepartureOfALeavingUpstreamIsNoNews(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Apply(follower.Update{
		Entries: []storer.Entry{entry("a", "leaving 1000 1", 1)},
	})
	is.True(!f.Leave(drainer.Departure{
		Upstream: "a",
		Start:    "1000",
	}))
	f.Apply(follower.Update{
		Entries: []storer.Entry{entry("a", "ready 1000 2", 2)},
	})
	row, _ := f.Row("a")
	is.True(row.Instance.Leaving)
}
