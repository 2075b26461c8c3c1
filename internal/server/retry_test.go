package server_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/faulter"
	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

const shortCompletion = `{"model":"ledger","prompt":"x","max_tokens":3}`

func TestRefusedRequestIsQueuedAgain(t *testing.T) {
	for _, kind := range []faulter.Kind{faulter.Refuse, faulter.Cut} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, fixtureConfig{})
			f.engines[0].Faults().Set(faulter.Fault{
				Kind:  kind,
				Count: 2,
			})
			body := readAll(t, f.send("POST", "/v1/completions", shortCompletion))
			is.True(strings.Contains(body, runner.Text(checkpoint, "x", 3)))
			is.Equal(len(f.engines[0].Requests()), 1)
		})
	}
}

func TestOutcomeCoversAllAttempts(t *testing.T) {
	for _, outcome := range []refuser.Outcome{refuser.NotRun, refuser.Unknown} {
		t.Run(string(outcome), func(t *testing.T) {
			is := is.New(t)
			var arrived atomic.Int64
			f := newFixture(t, fixtureConfig{
				wrap: func(http.Handler) http.Handler {
					return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if arrived.Add(1) == 1 && outcome == refuser.Unknown {
							panic(http.ErrAbortHandler)
						}
						w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
						w.Header().Set("X-Not-Run", "true")
						w.WriteHeader(http.StatusServiceUnavailable)
					})
				},
			})
			refusal := f.decodeRefusal(f.send("POST", "/v1/completions", shortCompletion, "X-Timeout", "200ms"))
			is.Equal(refusal.Error.Outcome, outcome)
			is.True(arrived.Load() > 1)
		})
	}
}

func TestRequestToASilentEngineEndsAtTheDeadline(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, fixtureConfig{
		engine: runner.Config{
			FirstTokenDelay: time.Hour,
		},
	})
	answer := f.send("POST", "/v1/completions", shortCompletion, "X-Timeout", "100ms")
	is.Equal(answer.StatusCode, http.StatusGatewayTimeout)
	refusal := f.decodeRefusal(answer)
	is.Equal(refusal.Error.Code, refuser.CodeDeadline)
	is.Equal(refusal.Error.Outcome, refuser.Unknown)
	waitEnd(f)
	is.Equal(f.engines[0].Requests()[0].End, runner.EndCancelled)
}
