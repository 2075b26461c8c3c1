package server_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/internal/server"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// TestRequestsThatNoUpstreamWantsAreRefusedAtOnce guards against requests that wait in the queue, or enter it, while no upstream
// wants any, and against callers who are not told when to come back.
func TestRequestsThatNoUpstreamWantsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	until := time.Now().Add(20 * time.Second)
	config := server.Config{
		Routed: true,
		CooldownEnd: func(need router.Need) (time.Time, bool) {
			return until, need.Service == "desk"
		},
	}
	f := newRoutedFixture(t, config, func(http.ResponseWriter, *http.Request) {})
	response, _ := f.send(t, http.MethodGet, "/open/1", "")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
	is.Equal(len(f.requests), 0)

	s := server.New(config)
	refusal := s.RefuseCooling(queuer.Ticket{
		Value: router.Need{
			Service: "desk",
		},
	})
	is.True(refusal != nil)
	is.Equal(refusal.Code, refuser.CodeNoUpstream)
	is.Equal(refusal.Outcome, refuser.NotRun)
	is.Equal(refusal.RetryAt, until)
	is.True(s.RefuseCooling(queuer.Ticket{
		Value: router.Need{
			Service: "engines",
		},
	}) == nil)
}
