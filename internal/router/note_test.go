package router_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// notedRouter is a router in front of two engines, with a clock that tests advance.
type notedRouter struct {
	*router.Router
	now      time.Time
	sequence uint64
	copies   map[string][]string
}

func newNotedRouter() *notedRouter {
	n := &notedRouter{
		now: time.Unix(1000, 0),
		copies: map[string][]string{
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
			for _, checkpoint := range n.copies[name] {
				report.Copies = append(report.Copies, reporter.Copy{
					Checkpoint: checkpoint,
					State:      reporter.CopyReady,
				})
			}
			return report, n.now, true
		},
		Now: func() time.Time { return n.now },
	})
	n.publish()
	return n
}

// publish publishes a new report of both engines.
func (n *notedRouter) publish() {
	n.sequence++
	n.Refresh()
}

func (n *notedRouter) pick(adapter string) (*router.Choice, bool) {
	return n.Pick(router.Need{
		Checkpoint:          "m",
		Adapter:             adapter,
		AllowMissingAdapter: true,
		Parts: []router.Part{
			{
				Hash:   n.sequence,
				Tokens: 100,
			},
		},
	})
}

// TestNoteGoesBeforeOlderEntries covers an engine that was ordered to unload a
// model and whose next report still lists it: the note overrides the report until
// it expires.
func TestNoteGoesBeforeOlderEntries(t *testing.T) {
	is := is.New(t)
	n := newNotedRouter()
	n.SetLoaded("a", "m", "", false)
	n.publish()
	is.Equal(n.Ready("m"), 1)
	for range 8 {
		choice, ok := n.pick("")
		is.True(ok)
		is.Equal(choice.Upstream, "b")
		choice.Done(router.Good)
	}
	n.now = n.now.Add(time.Minute)
	n.publish()
	is.Equal(n.Ready("m"), 2) // the reports count again
}

// TestRestIsToldWhenAllUpstreamsHaveFailed checks that Rest returns the end of the
// cooldown once every circuit is open, and no longer after the cooldown.
func TestRestIsToldWhenAllUpstreamsHaveFailed(t *testing.T) {
	is := is.New(t)
	n := newNotedRouter()
	need := router.Need{
		Checkpoint: "m",
	}
	for range 2 {
		_, open := n.Rest(need)
		is.True(!open)
		choice, ok := n.pick("")
		is.True(ok)
		choice.Done(router.Unreachable)
	}
	until, open := n.Rest(need)
	is.True(open)
	is.Equal(until, n.now.Add(router.DefaultCooling))
	n.now = until
	_, open = n.Rest(need)
	is.True(!open) // one probe may be sent
	_, open = n.Rest(router.Need{
		Checkpoint: "none",
	})
	is.True(!open)
}

func TestEngineWithTheAdapterIsPreferred(t *testing.T) {
	is := is.New(t)
	n := newNotedRouter()
	for _, engine := range []string{"a", "b"} {
		n.sequence++ // a prompt that no engine has cached
		n.SetLoaded("a", "m", "m/x", engine == "a")
		n.SetLoaded("b", "m", "m/x", engine == "b")
		choice, ok := n.pick("m/x")
		is.True(ok)
		is.Equal(choice.Upstream, engine)
		is.True(!choice.AdapterMissing)
		choice.Done(router.Good)
	}
	choice, ok := n.pick("m/y")
	is.True(ok)
	is.True(choice.AdapterMissing) // it has to be loaded first
}

func TestKeptPromptsGoFirstUntilTheirEngineIsFull(t *testing.T) {
	is := is.New(t)
	n := newNotedRouter()
	first, ok := n.pick("")
	is.True(ok)
	is.Equal(first.UncachedTokens, int64(100))
	second, ok := n.pick("")
	is.True(ok)
	is.Equal(second.Upstream, first.Upstream)
	is.Equal(second.UncachedTokens, int64(0))
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
