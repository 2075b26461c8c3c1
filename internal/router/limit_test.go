package router_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/pacer"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// limits are the admissions and limits that a router's upstreams have; others have no limit.
type limits struct {
	admissions map[string]pacer.Admission
	states     map[string]pacer.State
	// asked counts the requests for permits by upstream.
	asked map[string]int
}

// limitedRouter returns a router in front of engines with limits.
func (f *fleet) limitedRouter(l *limits) *router.Router {
	l.asked = map[string]int{}
	r := router.New(router.Config{
		Domain:    "central",
		Upstreams: func() []storer.Instance { return f.rows },
		Report: func(name string) (reporter.Report, time.Time, bool) {
			report, ok := f.reports[name]
			return report, f.now, ok
		},
		Admit: func(u pacer.Upstream) pacer.Admission {
			l.asked[u.Name]++
			if admission, limited := l.admissions[u.Name]; limited {
				return admission
			}
			return pacer.Admitted
		},
		LimitState: func(u pacer.Upstream) pacer.State { return l.states[u.Name] },
		Now:        func() time.Time { return f.now },
	})
	r.Refresh()
	return r
}

func TestRequestBeyondALimitGoesToAnotherEngine(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	l := &limits{
		admissions: map[string]pacer.Admission{"engine0": pacer.Denied, "engine1": pacer.Denied},
	}
	r := f.limitedRouter(l)
	for range 4 {
		choice, ok := r.Pick(need)
		is.True(ok)
		is.Equal(choice.Upstream, "engine2")
	}
	_, ok := r.Pick(need)
	is.True(!ok) // the engine without a limit is full
}

// TestOnlyARequestThatCanWaitWaitsForAPermit checks that a retry goes to another engine, while a queued request stays for
// the permit of the engine that suits it best.
func TestOnlyARequestThatCanWaitWaitsForAPermit(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	l := &limits{
		admissions: map[string]pacer.Admission{"engine0": pacer.Pending, "engine1": pacer.Pending},
	}
	r := f.limitedRouter(l)
	waiting := need
	waiting.Waits = true
	_, ok := r.Pick(waiting)
	is.True(!ok)
	is.Equal(l.asked["engine0"]+l.asked["engine1"], 1)
	_, ok = r.Pick(need)
	is.True(!ok)
	is.True(l.asked["engine0"] > 0)
	is.True(l.asked["engine1"] > 0)
}

// TestResendNeedsAPermit guards against requests that are sent to the same engine again beside its limit.
func TestResendNeedsAPermit(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	l := &limits{
		admissions: map[string]pacer.Admission{"engine0": pacer.Denied},
	}
	r := f.limitedRouter(l)
	_, ok := r.PickUpstream("engine0", need)
	is.True(!ok)
}

func TestLimitEndIsTheTurnOfTheRequest(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	l := &limits{
		states: map[string]pacer.State{
			"engine0": {Limited: true, Rate: 1, Next: f.now.Add(3 * time.Second)},
			"engine1": {Limited: true, Rate: 3, Next: f.now.Add(2 * time.Second)},
		},
	}
	r := f.limitedRouter(l)
	at, limited := r.LimitEnd(need, 0)
	is.True(limited)
	is.Equal(at, f.now.Add(2*time.Second))
	at, limited = r.LimitEnd(need, 4)
	is.True(limited)
	is.Equal(at, f.now.Add(3*time.Second)) // four requests ahead at four a second
	l.states["engine1"] = pacer.State{Limited: true, Rate: 3}
	_, limited = r.LimitEnd(need, 0)
	is.True(!limited) // a permit may be had at once
	delete(l.states, "engine1")
	_, limited = r.LimitEnd(need, 10)
	is.True(!limited) // one engine has no limit
}
