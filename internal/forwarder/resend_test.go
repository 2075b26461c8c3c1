package forwarder_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// secondCallRuns sends two calls over a kept-alive connection that breaks after the second
// request was read, and returns how often the second call ran.
func secondCallRuns(t *testing.T, method, body string, allowResend bool) (ran int, refused *refuser.Refusal) {
	upstream := newRawUpstream(t, func(n int, request *http.Request) string {
		if n == 2 {
			return closeConnection
		}
		return okAnswer(request)
	})
	h := newHarness(forwarder.Config{
		AllowResend: allowResend,
	}, upstream.listener.Addr().String())
	_, first := h.call(t.Context(), t, method, body, true)
	if first != nil {
		t.Fatal(first)
	}
	_, refused = h.call(t.Context(), t, method, body, true)
	return upstream.requests() - 1, refused
}

// TestTransportNeverSendsACallTwice guards against http.Transport resending a request
// when a reused connection breaks before the answer.
func TestTransportNeverSendsACallTwice(t *testing.T) {
	for _, c := range []struct{ method, body string }{
		{
			method: http.MethodGet,
		},
		{
			method: http.MethodPost,
		},
		{
			method: http.MethodPost,
			body:   "crate 9",
		},
		{
			method: http.MethodDelete,
		},
	} {
		t.Run(c.method+c.body, func(t *testing.T) {
			is := is.New(t)
			ran, refused := secondCallRuns(t, c.method, c.body, false)
			is.Equal(ran, 1)
			is.Equal(refused.Outcome, refuser.Unknown)

			ran, _ = secondCallRuns(t, c.method, c.body, true)
			is.Equal(ran, 2) // without the protection the transport resends it
		})
	}
}
