package server_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// upstreamAnswer is an answer of an upstream that states (marked) or does not state that it did not run the request. Its status is zero
// if the connection is closed instead. Identity is that of the answered request: that of the request itself if empty.
type upstreamAnswer struct {
	status   int
	marked   bool
	identity string
}

// write writes the answer to a request.
func (a upstreamAnswer) write(w http.ResponseWriter, r *http.Request) {
	if a.status == 0 {
		panic(http.ErrAbortHandler)
	}
	switch a.identity {
	case "":
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	case "other":
		w.Header().Set("X-Request-Id", a.identity)
	}
	if a.marked {
		w.Header().Set("X-Not-Run", "true")
	}
	w.WriteHeader(a.status)
}

// promiseTimeout ends in the pause after the fourth attempt of a completion, while no engine has it.
const promiseTimeout = "275ms"

// TestOwnAnswerPromisesNoMoreThanIsKnown guards against an upstream's 503, 429, 408 or 421 that reaches a caller of the product's own
// interface as the promise that its request has not run, though the upstream has not stated that for this very attempt.
func TestOwnAnswerPromisesNoMoreThanIsKnown(t *testing.T) {
	type testCase struct {
		answers []upstreamAnswer
		outcome refuser.Outcome
	}
	var cases []testCase
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest} {
		for _, identity := range []string{"", "none", "other"} {
			for _, marked := range []bool{false, true} {
				outcome := refuser.Unknown
				if identity == "" && (marked || status == http.StatusMisdirectedRequest) {
					outcome = refuser.NotRun
				}
				cases = append(cases, testCase{
					answers: []upstreamAnswer{{status, marked, identity}},
					outcome: outcome,
				})
			}
		}
	}
	cases = append(cases, testCase{
		answers: []upstreamAnswer{{}, {http.StatusServiceUnavailable, true, ""}},
		outcome: refuser.Unknown,
	}, testCase{
		answers: []upstreamAnswer{{http.StatusServiceUnavailable, false, ""}, {http.StatusServiceUnavailable, true, ""}},
		outcome: refuser.Unknown,
	})
	for _, request := range []struct{ name, method, path, body string }{
		{"call that runs once", http.MethodPost, "/crates/7", "crate"},
		{"call", http.MethodGet, "/crates/7", ""},
		{"completion", http.MethodPost, "/v1/completions", shortCompletion},
		{"stream", http.MethodPost, "/v1/completions", `{"model":"ledger","prompt":"x","max_tokens":3,"stream":true}`},
	} {
		for _, test := range cases {
			if request.method == http.MethodPost && request.path == "/crates/7" && len(test.answers) > 1 {
				continue // it is not sent again after an attempt that may have run
			}
			t.Run(fmt.Sprintf("%s %+v", request.name, test.answers), func(t *testing.T) {
				is := is.New(t)
				var arrived atomic.Int64
				f := newFixture(t, fixtureConfig{
					services: 2,
					wrap: func(http.Handler) http.Handler {
						return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
							test.answers[min(int(arrived.Add(1)), len(test.answers))-1].write(w, r)
						})
					},
				})
				response := f.send(request.method, request.path, request.body, "X-Timeout", promiseTimeout)
				refusal := f.decodeRefusal(response)
				is.Equal(refusal.Error.Outcome, test.outcome)
				t.Logf("answered with %d", response.StatusCode)
				is.True(test.outcome == refuser.NotRun || !refuser.PromisesNotRun(response.StatusCode))
				is.Equal(response.Header.Get("X-Not-Run"), "")
				is.True(int(arrived.Load()) >= len(test.answers))
			})
		}
	}
}
