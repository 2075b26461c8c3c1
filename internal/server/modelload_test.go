package server_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/internal/server"
)

// TestRequestWaitsForTheStartOfItsLoad checks that a request whose model cannot be loaded at once, but soon, waits for that, and
// that others are refused at once.
func TestRequestWaitsForTheStartOfItsLoad(t *testing.T) {
	for name, test := range map[string]struct {
		// retryIn is the time after which a refused load may be tried again; zero means not known.
		retryIn time.Duration
		// begins is the attempt with which the load begins, and ready the one during which another instance's load ends.
		begins, ready int64
		status        int
		attempts      int64
	}{
		"the engine is busy for a moment": {
			retryIn:  10 * time.Millisecond,
			begins:   3,
			status:   http.StatusOK,
			attempts: 3,
		},
		"another instance loads it": {
			retryIn:  10 * time.Millisecond,
			ready:    2,
			status:   http.StatusOK,
			attempts: 2,
		},
		"not in time": {
			retryIn:  time.Hour,
			begins:   3,
			status:   http.StatusServiceUnavailable,
			attempts: 1,
		},
		"not known when": {
			begins:   3,
			status:   http.StatusServiceUnavailable,
			attempts: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var attempts atomic.Int64
			f := newRoutedFixture(t, server.Config{
				StartLoad: func(context.Context, router.Need) (time.Time, bool) {
					switch n := attempts.Add(1); {
					case n == test.begins:
						return time.Now(), true
					case test.retryIn == 0:
						return time.Time{}, false
					}
					return time.Now().Add(test.retryIn), false
				},
				CountReady: func(router.Need) int {
					if test.ready > 0 && attempts.Load() >= test.ready {
						return 1
					}
					return 0
				},
			}, func(http.ResponseWriter, *http.Request) {})
			response, _ := f.send(t, http.MethodGet, "/prompt/1", "", "X-Model", "ledger")
			is.Equal(response.StatusCode, test.status)
			is.Equal(attempts.Load(), test.attempts)
			is.Equal(response.Header.Get("Retry-After") != "", test.retryIn > time.Second)
		})
	}
}
