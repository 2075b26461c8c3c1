package lister_test

import (
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/internal/lister"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// undecodable is the error for an entry that cannot be decoded.
type undecodable struct{}

func (*undecodable) Error() string { return "garbage" }

// fixture is a Lister with a clock set by tests.
type fixture struct {
	*lister.Lister
	now time.Time
}

func newFixture() *fixture {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fixture{
		now: time.Unix(1000, 0),
	}
	f.Lister = lister.New(lister.Config{
		Prefix:          "up/",
		ReregisterGrace: 2 * time.Second,
		GraceLimit:      2500 * time.Millisecond,
		Now:             func() time.Time { return f.now },
		Log:             log,
		Decode: func(entry storer.Entry) (lister.Row, error) {
			if string(entry.Value) == "garbage" {
				return lister.Row{}, &undecodable{}
			}
			state, start, _ := strings.Cut(string(entry.Value), " ")
			start, writes, _ := strings.Cut(start, " ")
			row := lister.Row{
				Instance: storer.Instance{
					Leaving: state == "leaving",
				},
				Report: reporter.Report{
					Sequence: uint64(entry.Revision),
					Start:    start,
				},
			}
			row.Writes, _ = strconv.ParseUint(writes, 10, 64)
			return row, nil
		},
	})
	return f
}

func (f *fixture) names() []string {
	names := []string{}
	for _, row := range f.Upstreams() {
		names = append(names, row.Name)
	}
	return names
}

func entry(name, value string, revision storer.Revision) storer.Entry {
	return storer.Entry{
		Key:      "up/" + name,
		Value:    []byte(value),
		Revision: revision,
	}
}

// TestUnreadableEntryIsNotListed guards against an entry that cannot be decoded but counts as an
// upstream, or keeps other upstreams off the list.
func TestUnreadableEntryIsNotListed(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Apply(follower.Update{
		Entries: []storer.Entry{entry("a", "", 1), entry("b", "garbage", 2)},
	})
	is.Equal(f.names(), []string{"a"})
	f.Apply(follower.Update{
		Entries: []storer.Entry{entry("a", "garbage", 3)},
	})
	is.Equal(f.names(), []string{})
}

// TestEntriesUnderOtherPrefixesAreNotListed guards against entries under other prefixes that count as
// upstreams.
func TestEntriesUnderOtherPrefixesAreNotListed(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Apply(follower.Update{
		Complete: true,
		Entries: []storer.Entry{
			entry("a", "", 1),
			{
				Key:      "other/b",
				Revision: 2,
			},
		},
	})
	is.Equal(f.names(), []string{"a"})
}

// TestOlderRevisionIsIgnored guards against an entry that is replaced by an older revision.
func TestOlderRevisionIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Apply(follower.Update{
		Entries: []storer.Entry{entry("a", "leaving", 5)},
	})
	f.Apply(follower.Update{
		Entries: []storer.Entry{entry("a", "", 4)},
	})
	row, ok := f.Row("a")
	is.True(ok)
	is.True(row.Instance.Leaving)
}

// TestDeletedUpstreamIsRemovedAtOnce guards against upstreams that remain listed although the store has
// not failed: after a deletion, and if a complete update lacks them.
func TestDeletedUpstreamIsRemovedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Apply(follower.Update{
		Entries: []storer.Entry{entry("a", "", 1), entry("b", "", 2)},
	})
	f.Apply(follower.Update{
		Deleted: []string{"up/a"},
	})
	is.Equal(f.names(), []string{"b"})
	f.Apply(follower.Update{
		Complete: true,
	})
	is.Equal(f.names(), []string{})
}

// TestUpstreamsMayRegisterAgainAfterAnOutage guards against upstreams that are removed because
// their entries lapsed during an outage of the store, and against ones that stay listed although
// they did not register again.
func TestUpstreamsMayRegisterAgainAfterAnOutage(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Apply(follower.Update{
		Entries: []storer.Entry{entry("a", "", 1), entry("b", "", 2)},
	})
	f.Apply(follower.Update{
		Deleted:   []string{"up/a", "up/b"},
		Recovered: true,
	})
	is.Equal(f.names(), []string{"a", "b"}) // their entries lapsed while the store was unreachable
	f.now = f.now.Add(time.Second)
	f.Apply(follower.Update{
		Entries: []storer.Entry{entry("a", "", 3)},
	})
	f.now = f.now.Add(1100 * time.Millisecond)
	is.Equal(f.names(), []string{"a"}) // b did not register again
}

// TestUpstreamsThatLeftAreDroppedHoweverLateARecoveryIsNoticed guards against an instance that was cut off itself, notices late
// that the cut has ended, and goes on using upstreams that have gone.
func TestUpstreamsThatLeftAreDroppedHoweverLateARecoveryIsNoticed(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Apply(follower.Update{
		Entries: []storer.Entry{entry("a", "", 1)},
	})
	unreachableAt := f.now
	f.now = f.now.Add(1500 * time.Millisecond)
	f.Apply(follower.Update{
		Deleted:       []string{"up/a"},
		Recovered:     true,
		UnreachableAt: unreachableAt,
	})
	f.now = f.now.Add(900 * time.Millisecond)
	is.Equal(f.names(), []string{"a"})
	f.now = f.now.Add(100 * time.Millisecond)
	is.Equal(f.names(), []string{})
}

// TestRenewalUpdatesOnlyTheRevision guards against a rewritten, unchanged entry that keeps its old
// revision or changes the upstream, and against one of an unknown upstream that adds it.
func TestRenewalUpdatesOnlyTheRevision(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Apply(follower.Update{
		Entries: []storer.Entry{entry("a", "ready", 5)},
	})
	before, _ := f.Row("a")
	f.Apply(follower.Update{
		Renewed: []follower.Renewal{
			{
				Key:      "up/a",
				Revision: 9,
			},
			{
				Key:      "up/unknown",
				Revision: 10,
			},
		},
	})
	after, _ := f.Row("a")
	is.Equal(after.Report.Sequence, uint64(9))
	is.Equal(after.Instance, before.Instance)
	is.Equal(len(f.Upstreams()), 1)
}
