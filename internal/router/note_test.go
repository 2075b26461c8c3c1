package router_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// noted is a router before two engines whose entries tests change.
type noted struct {
	*router.Router
	now      time.Time
	sequence uint64
	held     map[string][]string
}

func newNoted() *noted {
	n := &noted{
		now: time.Unix(1000, 0),
		held: map[string][]string{
			"a": {"m"},
			"b": {"m"},
		},
	}
	n.Router = router.New(router.Config{
		Upstreams: func() []storer.Instance {
			return []storer.Instance{
				{
					Name: "a",
					Role: storer.RoleEngine,
				},
				{
					Name: "b",
					Role: storer.RoleEngine,
				},
			}
		},
		Report: func(name string) (reporter.Report, time.Time, bool) {
			report := reporter.Report{
				Sequence: n.sequence,
				Slots:    4,
			}
			for _, checkpoint := range n.held[name] {
				report.Copies = append(report.Copies, reporter.Copy{
					Checkpoint: checkpoint,
					State:      reporter.CopyReady,
				})
			}
			return report, n.now, true
		},
		Now: func() time.Time { return n.now },
	})
	n.tell()
	return n
}

func (n *noted) tell() {
	n.sequence++
	n.Refresh()
}

func (n *noted) pick(adapter string) (*router.Choice, bool) {
	return n.Pick(router.Need{
		Checkpoint: "m",
		Adapter:    adapter,
		Fetch:      true,
		Parts: []router.Part{
			{
				Hash:   n.sequence,
				Tokens: 100,
			},
		},
	})
}

// TestNoteGoesBeforeOlderEntries plays an engine that was told to drop a model
// and whose next entry still shows it.
func TestNoteGoesBeforeOlderEntries(t *testing.T) {
	is := is.New(t)
	n := newNoted()
	n.Note("a", "m", "", false)
	n.tell()
	is.Equal(n.Ready("m"), 1)
	for range 8 {
		choice, ok := n.pick("")
		is.True(ok)
		is.Equal(choice.Upstream, "b")
		choice.Done(router.Good)
	}
	n.now = n.now.Add(time.Minute)
	n.tell()
	is.Equal(n.Ready("m"), 2) // the entries count again
}

func TestRestIsToldWhenAllUpstreamsHaveFailed(t *testing.T) {
	is := is.New(t)
	n := newNoted()
	need := router.Need{
		Checkpoint: "m",
	}
	for range 2 {
		_, rests := n.Rest(need)
		is.True(!rests)
		choice, ok := n.pick("")
		is.True(ok)
		choice.Done(router.Unreachable)
	}
	until, rests := n.Rest(need)
	is.True(rests)
	is.Equal(until, n.now.Add(router.DefaultCooling))
	n.now = until
	_, rests = n.Rest(need)
	is.True(!rests) // one request may try
	_, rests = n.Rest(router.Need{
		Checkpoint: "none",
	})
	is.True(!rests)
}

func TestEngineWithTheAdapterIsPreferred(t *testing.T) {
	is := is.New(t)
	n := newNoted()
	for _, engine := range []string{"a", "b"} {
		n.sequence++ // a prompt that nobody keeps
		n.Note("a", "m", "m/x", engine == "a")
		n.Note("b", "m", "m/x", engine == "b")
		choice, ok := n.pick("m/x")
		is.True(ok)
		is.Equal(choice.Upstream, engine)
		is.True(!choice.Missing)
		choice.Done(router.Good)
	}
	choice, ok := n.pick("m/y")
	is.True(ok)
	is.True(choice.Missing) // it has to be loaded first
}

func TestKeptPromptsGoFirstUntilTheirEngineIsFull(t *testing.T) {
	is := is.New(t)
	n := newNoted()
	first, ok := n.pick("")
	is.True(ok)
	is.Equal(first.Unread, int64(100))
	second, ok := n.pick("")
	is.True(ok)
	is.Equal(second.Upstream, first.Upstream)
	is.Equal(second.Unread, int64(0))
	counts := map[string]int{}
	for range 6 {
		choice, ok := n.pick("")
		is.True(ok)
		counts[choice.Upstream]++
	}
	is.Equal(counts[first.Upstream], 2) // four slots in all
	_, ok = n.pick("")
	is.True(!ok)
}
