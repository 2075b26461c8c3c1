package router_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// TestEvacuatedUpstreamGetsNoRequests guards against requests to the upstreams of an evacuated failure domain: new ones, those
// that were placed before and wait for an adapter, and those that a named upstream would get again.
func TestEvacuatedUpstreamGetsNoRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	r := f.router()
	f.rows[0].Evacuated = true
	placed, ok := r.PickUpstream("engine0", need)
	is.True(ok)
	r.Refresh()
	is.True(placed.Unwanted())
	_, ok = r.PickUpstream("engine0", need)
	is.True(!ok)
	for range 4 {
		choice, ok := r.Pick(need)
		is.True(ok)
		is.Equal(choice.Upstream, "engine1")
	}
	is.Equal(r.CountReady(need), 1)
	is.True(!r.Stranded(need, "")) // the other one is only full
	f.rows[1].Evacuated = true
	r.Refresh()
	is.True(r.Stranded(need, ""))
	is.True(r.Stranded(need, "central"))
	is.True(!r.Stranded(need, "east")) // the evacuation of another domain changes nothing
	is.True(!r.Stranded(router.Need{
		Checkpoint: "m-2",
	}, "")) // no engine ever had it
	f.rows[0].Evacuated = false
	r.Refresh()
	choice, ok := r.Pick(need)
	is.True(ok)
	is.Equal(choice.Upstream, "engine0")
}

// TestRequestsStayInTheirDomains guards against requests that leave the failure domains to which route and team bind them: at their
// first attempt, again at a named upstream, or because an upstream elsewhere caches the prompt.
func TestRequestsStayInTheirDomains(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.rows[0].Domain, f.rows[1].Domain = "east", "west"
	r := router.New(router.Config{
		Domain:       "central",
		OtherDomains: true,
		Upstreams:    func() []storer.Instance { return f.rows },
		Report: func(name string) (reporter.Report, time.Time, bool) {
			report, ok := f.reports[name]
			return report, f.now, ok
		},
		Now: func() time.Time { return f.now },
	})
	r.Refresh()
	r.RecordCacheEvent("engine2", "5", true)
	bound := router.Need{
		Checkpoint: "m-1",
		Prefix:     5,
		Bound:      true,
		Domains:    []string{"east"},
	}
	for range 4 {
		choice, ok := r.Pick(bound)
		is.True(ok)
		is.Equal(choice.Upstream, "engine0")
	}
	_, ok := r.Pick(bound) // full
	is.True(!ok)
	_, ok = r.PickUpstream("engine1", bound)
	is.True(!ok)
	is.Equal(r.CountReady(bound), 1)
	bound.Domains = []string{"north"}
	is.Equal(r.CountReady(bound), 0)
	is.Equal(r.CountCandidates(bound).Total, 0)
	bound.Domains = nil
	_, ok = r.Pick(bound)
	is.True(!ok)
	choice, ok := r.PickUpstream("engine1", need)
	is.True(ok)
	is.Equal(choice.Upstream, "engine1")
}
