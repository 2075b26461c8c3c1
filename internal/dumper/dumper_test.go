package dumper

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// request sends a GET request to the handler of the Dumper and returns the recorded response.
func request(d *Dumper, path string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	d.server.Handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder
}

func TestDumpAndReadiness(t *testing.T) {
	is := is.New(t)
	ready := false
	d := New(Config{
		Ready: func() bool { return ready },
		Parts: map[string]func() any{
			"limits": func() any { return map[string]int{"crates": 7} },
			"duties": func() any { return nil },
		},
	})
	is.Equal(request(d, "/readyz").Code, http.StatusServiceUnavailable)
	ready = true
	is.Equal(request(d, "/readyz").Code, http.StatusOK)
	is.Equal(request(d, "/healthz").Code, http.StatusOK)
	part := request(d, "/dump?part=limits").Body.String()
	is.True(strings.Contains(part, `"crates": 7`))
	is.True(!strings.Contains(part, "duties"))
	is.Equal(request(d, "/dump?part=other").Code, http.StatusNotFound)
	is.Equal(request(d, "/metrics").Code, http.StatusOK)
}
