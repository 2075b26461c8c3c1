package stager

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/router"
)

// TestLoadStaysInTheDomainsOfItsRequest guards against a load in a failure domain whose engines may not get the request that it is
// for, and against its answer being given to one that could go there.
func TestLoadStaysInTheDomainsOfItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.refreshViews(t.Context())
		f.AddDemand("m0", "", 1000)
		load := func(bound bool, domains ...string) bool {
			_, ok := f.RequestLoad(t.Context(), router.Need{
				Service:    "engines",
				Checkpoint: "m0",
				Bound:      bound,
				Domains:    domains,
			})
			return ok
		}
		_ = load(true, "a") // the load limiter starts without a token
		time.Sleep(time.Second)
		is.True(!load(true, "b"))
		is.True(!load(true))
		time.Sleep(modelLoadTime + time.Second)
		is.Equal(len(f.engine.orders), 0)
		is.True(load(true, "a", "b"))
		is.True(load(false))
		time.Sleep(modelLoadTime + 5*time.Second)
		is.Equal(len(f.engine.orders), 1)
	})
}
