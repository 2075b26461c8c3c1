package evacuator_test

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/evacuator"
	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/internal/informer"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// fixture is an Evacuator with a clock set by tests.
type fixture struct {
	*evacuator.Evacuator
	now     time.Time
	changes int
	told    []informer.Fact
}

func newFixture() *fixture {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fixture{
		now: time.Unix(1000, 0),
	}
	f.Evacuator = evacuator.New(evacuator.Config{
		Prefix:  "evacuate/",
		Changed: func(evacuator.State) { f.changes++ },
		Tell:    func(fact informer.Fact) { f.told = append(f.told, fact) },
		Now:     func() time.Time { return f.now },
		Log:     log,
	})
	return f
}

// requested returns the operator's entry for a failure domain.
func requested(domain string, era, number uint64) storer.Entry {
	return storer.Entry{
		Key:      "evacuate/" + domain,
		Revision: storer.NewRevision(era, number),
	}
}

// changed returns an update with entries; its last one decides its revision.
func changed(entries ...storer.Entry) follower.Update {
	return follower.Update{
		Entries:  entries,
		Revision: entries[len(entries)-1].Revision,
	}
}

// removed returns an update in which the operator takes a failure domain back.
func removed(domain string, era, number uint64) follower.Update {
	return follower.Update{
		Deleted:  []string{"evacuate/" + domain},
		Revision: storer.NewRevision(era, number),
	}
}

// complete returns the complete state of the store.
func complete(restored bool, era, number uint64, entries ...storer.Entry) follower.Update {
	return follower.Update{
		Complete: true,
		Restored: restored,
		Entries:  entries,
		Revision: storer.NewRevision(era, number),
	}
}

// TestEvacuationFollowsTheOperator guards against domains that are evacuated too long or not long enough: two at once, taken
// back, evacuated again, told late, and after the store went back to a copy that lacks the operator's last acts.
func TestEvacuationFollowsTheOperator(t *testing.T) {
	for name, test := range map[string]struct {
		updates []follower.Update
		want    []string
		// later is what is evacuated a minute later.
		later []string
	}{
		"one": {[]follower.Update{changed(requested("a", 0, 5))}, []string{"a"}, []string{"a"}},
		"two at once, one back": {
			[]follower.Update{changed(requested("a", 0, 5), requested("b", 0, 6)), removed("a", 0, 7)},
			[]string{"b"},
			[]string{"b"},
		},
		"again": {
			[]follower.Update{changed(requested("a", 0, 5)), removed("a", 0, 7), changed(requested("a", 0, 9))},
			[]string{"a"},
			[]string{"a"},
		},
		"other entries": {[]follower.Update{changed(storer.Entry{Key: "config", Revision: 4})}, nil, nil},
		"known at the start": {
			[]follower.Update{complete(false, 0, 9, requested("a", 0, 5))},
			[]string{"a"},
			[]string{"a"},
		},
		"taken back while the changes were lost": {
			[]follower.Update{changed(requested("a", 0, 5)), complete(false, 0, 9)},
			nil,
			nil,
		},
		"an old complete state": {
			[]follower.Update{changed(requested("a", 0, 5)), complete(false, 0, 4)},
			[]string{"a"},
			[]string{"a"},
		},
		"a copy without it": {
			[]follower.Update{changed(requested("a", 0, 5)), complete(true, 1, 4), complete(false, 1, 6)},
			[]string{"a"}, // the operator has time to write it again
			nil,
		},
		"a copy without it, written again": {
			[]follower.Update{changed(requested("a", 0, 5)), complete(true, 1, 4), changed(requested("a", 1, 5))},
			[]string{"a"},
			[]string{"a"},
		},
		"a copy that still has it": {
			[]follower.Update{
				changed(requested("a", 0, 5)), removed("a", 0, 7), complete(true, 1, 6, requested("a", 1, 5)),
				complete(false, 1, 8, requested("a", 1, 5)),
			},
			nil,
			nil,
		},
		"a copy that still has it, evacuated again": {
			[]follower.Update{
				changed(requested("a", 0, 5)), removed("a", 0, 7), complete(true, 1, 6, requested("a", 1, 5)),
				changed(requested("a", 1, 7)),
			},
			[]string{"a"},
			[]string{"a"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			for _, update := range test.updates {
				f.Apply(update)
			}
			is.Equal(f.Domains(), test.want)
			f.now = f.now.Add(time.Minute)
			is.Equal(f.Domains(), test.later)
		})
	}
}

// TestChangesAreTold guards against waiting requests that are not placed again, and against work at each of the store's updates.
func TestChangesAreTold(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Apply(changed(requested("a", 0, 5)))
	f.Apply(changed(requested("a", 0, 6)))
	is.Equal(f.changes, 1)
	is.True(f.Evacuated("a"))
	f.Apply(removed("a", 0, 7))
	is.Equal(f.changes, 2)
	is.True(!f.Evacuated("a"))
}

// TestWhatOthersHaveReadCounts guards against an instance that the store does not answer and that goes on using a domain, and
// against a late message that evacuates one again or takes it back.
func TestWhatOthersHaveReadCounts(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	for _, step := range []struct {
		kind  informer.Kind
		era   uint64
		at    uint64
		isNew bool
		want  []string
	}{
		{informer.Evacuated, 0, 5, true, []string{"a"}},
		{informer.Evacuated, 0, 5, false, []string{"a"}},
		{informer.Returned, 0, 7, true, nil},
		{informer.Evacuated, 0, 5, false, nil},
		{informer.Evacuated, 1, 6, true, []string{"a"}},
		{informer.Returned, 0, 9, false, []string{"a"}}, // of a former era
	} {
		isNew := f.Learn(informer.Fact{
			Kind:     step.kind,
			Subject:  "a",
			Revision: storer.NewRevision(step.era, step.at),
			Seen:     f.now,
		}, "peer")
		is.Equal(isNew, step.isNew)
		is.Equal(f.Domains(), step.want)
	}
	is.Equal(f.changes, 3)
	is.Equal(len(f.told), 0) // what others told is passed on by the informer
	f.Apply(removed("a", 1, 8))
	is.Equal(len(f.told), 1)
	is.Equal(f.told[0].Kind, informer.Returned)
	f.Apply(removed("a", 1, 9))
	is.Equal(len(f.told), 1)
}
