package server_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/server"
)

// TestRequestWaitsForAnEngineThatRefusedIt checks that a request on a route with one attempt waits for its engine, which
// refuses it at first because another instance has just ordered something of it.
func TestRequestWaitsForAnEngineThatRefusedIt(t *testing.T) {
	for refusals, status := range map[int64]int{0: http.StatusOK, 2: http.StatusOK, 9: http.StatusServiceUnavailable} {
		is := is.New(t)
		var arrived atomic.Int64
		f := newRoutedFixture(t, server.Config{}, func(w http.ResponseWriter, _ *http.Request) {
			if arrived.Add(1) <= refusals {
				w.Header().Set("X-Not-Run", "true")
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		response, _ := f.send(t, http.MethodGet, "/prompt/1", "", "X-Model", "ledger")
		is.Equal(response.StatusCode, status)
		is.Equal(arrived.Load(), min(refusals, 3)+1)
	}
}
