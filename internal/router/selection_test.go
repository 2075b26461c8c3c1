package router_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// twoEngines is a router in front of the engines a and b, with a clock that tests advance.
type twoEngines struct {
	*router.Router
	now time.Time
	// sequence numbers the engines' reports. It is also the hash of the prompt that pick sends.
	sequence uint64
	// copies holds the ready checkpoints of each engine.
	copies map[string][]string
}

func newTwoEngines() *twoEngines {
	e := &twoEngines{
		now: time.Unix(1000, 0),
		copies: map[string][]string{
			"a": {"m"},
			"b": {"m"},
		},
	}
	e.Router = router.New(router.Config{
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
				Sequence: e.sequence,
				Slots:    4,
			}
			for _, checkpoint := range e.copies[name] {
				report.Copies = append(report.Copies, reporter.Copy{
					Checkpoint: checkpoint,
					State:      reporter.CopyReady,
				})
			}
			return report, e.now, true
		},
		Now: func() time.Time { return e.now },
	})
	e.publish()
	return e
}

// publish publishes a new report of both engines.
func (e *twoEngines) publish() {
	e.sequence++
	e.Refresh()
}

// pick chooses an engine for a request to m; the engine may lack the adapter.
func (e *twoEngines) pick(adapter string) (*router.Choice, bool) {
	return e.Pick(router.Need{
		Checkpoint:          "m",
		Adapter:             adapter,
		AllowMissingAdapter: true,
		Parts: []router.PromptPart{
			{
				Hash:   e.sequence,
				Tokens: 100,
			},
		},
	})
}

// TestLoadedStateOverridesReportsUntilItExpires guards against requests to an engine that was ordered
// to unload a model and whose next report still lists it.
func TestLoadedStateOverridesReportsUntilItExpires(t *testing.T) {
	is := is.New(t)
	e := newTwoEngines()
	e.SetLoaded("a", "m", "", false)
	e.publish()
	is.Equal(e.CountReady(router.Need{Checkpoint: "m"}), 1)
	for range 8 {
		choice, ok := e.pick("")
		is.True(ok)
		is.Equal(choice.Upstream, "b")
		choice.Done(router.Good)
	}
	e.now = e.now.Add(time.Minute)
	e.publish()
	is.Equal(e.CountReady(router.Need{Checkpoint: "m"}), 2) // the override has expired
}

// TestCooldownIsReportedWhileAllCircuitsAreOpen checks that CooldownEnd returns the end of the cooldown once
// every circuit is open, and no longer after the cooldown.
func TestCooldownIsReportedWhileAllCircuitsAreOpen(t *testing.T) {
	is := is.New(t)
	e := newTwoEngines()
	need := router.Need{
		Checkpoint: "m",
	}
	for range 2 {
		_, open := e.CooldownEnd(need)
		is.True(!open)
		choice, ok := e.pick("")
		is.True(ok)
		choice.Done(router.Unreachable)
	}
	until, open := e.CooldownEnd(need)
	is.True(open)
	is.Equal(until, e.now.Add(router.DefaultCooldown))
	e.now = until
	_, open = e.CooldownEnd(need)
	is.True(!open) // one probe may be sent
	_, open = e.CooldownEnd(router.Need{
		Checkpoint: "none",
	})
	is.True(!open)
}

func TestEngineWithTheAdapterIsPreferred(t *testing.T) {
	is := is.New(t)
	e := newTwoEngines()
	for _, engine := range []string{"a", "b"} {
		e.sequence++ // a prompt that no engine has cached
		e.SetLoaded("a", "m", "m/x", engine == "a")
		e.SetLoaded("b", "m", "m/x", engine == "b")
		choice, ok := e.pick("m/x")
		is.True(ok)
		is.Equal(choice.Upstream, engine)
		is.True(!choice.AdapterMissing)
		choice.Done(router.Good)
	}
	choice, ok := e.pick("m/y")
	is.True(ok)
	is.True(choice.AdapterMissing) // it has to be loaded first
}

func TestCachedPromptsGoToTheSameEngineUntilItIsFull(t *testing.T) {
	is := is.New(t)
	e := newTwoEngines()
	first, ok := e.pick("")
	is.True(ok)
	is.Equal(first.UncachedTokens, int64(100))
	second, ok := e.pick("")
	is.True(ok)
	is.Equal(second.Upstream, first.Upstream)
	is.Equal(second.UncachedTokens, int64(0))
	counts := map[string]int{}
	for range 6 {
		choice, ok := e.pick("")
		is.True(ok)
		counts[choice.Upstream]++
	}
	is.Equal(counts[first.Upstream], 2) // the other two of its four slots
	_, ok = e.pick("")
	is.True(!ok)
}
