package server_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/internal/server"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// TestRequestsOfEvacuatedDomainsAreRefusedAtOnce guards against requests that wait for upstreams in evacuated failure domains.
func TestRequestsOfEvacuatedDomainsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	config := server.Config{
		Routed:   true,
		Stranded: func(need router.Need, domain string) bool { return need.Service == "desk" && domain != "east" },
	}
	f := newRoutedFixture(t, config, func(http.ResponseWriter, *http.Request) {})
	response, _ := f.send(t, http.MethodGet, "/open/1", "")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(len(f.requests), 0)

	s := server.New(config)
	for service, refused := range map[string]bool{
		"desk":    true,
		"engines": false,
	} {
		refusal := s.RefuseStranded(queuer.Ticket{
			Value: router.Need{
				Service: service,
			},
		}, "west")
		is.Equal(refusal != nil, refused)
		is.True(!refused || refusal.Outcome == refuser.NotRun)
		is.True(s.RefuseStranded(queuer.Ticket{
			Value: router.Need{
				Service: service,
			},
		}, "east") == nil)
	}
}
