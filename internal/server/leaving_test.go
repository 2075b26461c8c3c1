package server_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// leaveSignals are the ways in which the instance learns that the first engine is leaving.
var leaveSignals = map[string]func(*fixture){
	"by its report": func(f *fixture) {
		f.engines[0].Leave()
		f.router.Update(f.upstreams[0].Name)
	},
	"by the list": func(f *fixture) {
		f.mu.Lock()
		f.upstreams[0].Leaving = true
		f.mu.Unlock()
		f.router.Refresh()
	},
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for name, leave := range leaveSignals {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(requestsAfterLeaving(t, leave, false), int64(0))
		})
	}
}

// TestLeavingUpstreamGetsWorkIfTheRouterIgnoresLeaving shows that the test above detects requests to a leaving engine.
func TestLeavingUpstreamGetsWorkIfTheRouterIgnoresLeaving(t *testing.T) {
	for name, leave := range leaveSignals {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(requestsAfterLeaving(t, leave, true) > 0)
		})
	}
}

// requestsAfterLeaving makes the first of two engines leave between two rounds of requests, and returns the number of
// requests that were sent to it afterwards. With ignoreLeaving the router keeps using it.
func requestsAfterLeaving(t *testing.T, leave func(*fixture), ignoreLeaving bool) int64 {
	is := is.New(t)
	var arrived []*atomic.Int64
	f := newFixture(t, fixtureConfig{
		engines:       2,
		ignoreLeaving: ignoreLeaving,
		wrap: func(next http.Handler) http.Handler {
			count := new(atomic.Int64)
			arrived = append(arrived, count)
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				count.Add(1)
				next.ServeHTTP(w, r)
			})
		},
	})
	sendRequests(t, f)
	before := arrived[0].Load()
	is.True(before > 0)
	leave(f)
	sendRequests(t, f)
	is.Equal(len(f.engines[0].Requests())+len(f.engines[1].Requests()), 160)
	return arrived[0].Load() - before
}

// sendRequests sends 80 requests, 8 at a time.
func sendRequests(t *testing.T, f *fixture) {
	is := is.New(t)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 10 {
				answer := f.send("POST", "/v1/completions", `{"model":"ledger","prompt":"x","max_tokens":1}`)
				is.Equal(answer.StatusCode, 200)
				readAll(t, answer)
			}
		})
	}
	group.Wait()
}
