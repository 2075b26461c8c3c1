package server_test

import (
	"net/http"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/internal/server"
)

// TestRequestsStayInTheirRegions guards against requests that reach an upstream outside the regions of their route or team, and
// against those that wait for one which may not get them. The fixture's upstream is in the failure domain without a name, in east.
func TestRequestsStayInTheirRegions(t *testing.T) {
	for name, test := range map[string]struct {
		route, team []string
		want        int
		// domains are those that the router is asked for.
		domains []string
	}{
		"no regions":            {nil, nil, http.StatusOK, nil},
		"route":                 {[]string{"east"}, nil, http.StatusOK, []string{""}},
		"route elsewhere":       {[]string{"west"}, nil, http.StatusServiceUnavailable, []string{"w"}},
		"team":                  {nil, []string{"west", "east"}, http.StatusOK, []string{"", "w"}},
		"team elsewhere":        {nil, []string{"west"}, http.StatusServiceUnavailable, []string{"w"}},
		"both":                  {[]string{"east", "west"}, []string{"east"}, http.StatusOK, []string{""}},
		"both, none in common":  {[]string{"east"}, []string{"west"}, http.StatusServiceUnavailable, nil},
		"a region that is gone": {[]string{"north"}, nil, http.StatusServiceUnavailable, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var asked []string
			f := newRoutedFixture(t, server.Config{
				DomainsOf: func(regions []string) []string {
					var domains []string
					if slices.Contains(regions, "east") {
						domains = append(domains, "")
					}
					if slices.Contains(regions, "west") {
						domains = append(domains, "w")
					}
					return domains
				},
				CountReady: func(need router.Need) int {
					asked = need.Domains
					if slices.Contains(need.Domains, "") {
						return 1
					}
					return 0
				},
			}, func(http.ResponseWriter, *http.Request) {})
			archive := f.snapshot.Archive()
			for i := range archive.Routes {
				archive.Routes[i].Regions = test.route
			}
			archive.Teams[0].Regions = test.team
			snapshot, err := archive.Snapshot()
			is.NoErr(err)
			f.snapshot = snapshot
			response, _ := f.send(t, http.MethodGet, "/once/1", "", "X-Api-Key", secret)
			is.Equal(response.StatusCode, test.want)
			is.Equal(asked, test.domains)
			is.Equal(len(f.requests) > 0, test.want == http.StatusOK) // HOME
		})
	}
}
