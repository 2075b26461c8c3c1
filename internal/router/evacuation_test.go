package router_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/router"
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
	is.Equal(r.CountReady("m-1"), 1)
	is.True(!r.Stranded(need)) // the other one is only full
	f.rows[1].Evacuated = true
	r.Refresh()
	is.True(r.Stranded(need))
	is.True(!r.Stranded(router.Need{
		Checkpoint: "m-2",
	})) // no engine ever had it
	f.rows[0].Evacuated = false
	r.Refresh()
	choice, ok := r.Pick(need)
	is.True(ok)
	is.Equal(choice.Upstream, "engine0")
}
