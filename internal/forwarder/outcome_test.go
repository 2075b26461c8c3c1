package forwarder_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	h := newHarness(forwarder.Config{}, closedAddress(t))
	_, refused := h.call(t.Context(), t, http.MethodPost, "x", true)
	is.Equal(refused.Outcome, refuser.NotRun)
}

func TestCallThatDidNotRunGoesToAnotherInstance(t *testing.T) {
	is := is.New(t)
	upstream := newRawUpstream(t, func(_ int, request *http.Request) string { return okAnswer(request) })
	h := newHarness(forwarder.Config{}, closedAddress(t), upstream.listener.Addr().String())
	for range 10 {
		answer, refused := h.call(t.Context(), t, http.MethodPost, "x", true)
		is.Equal(refused, nil)
		is.Equal(answer, "ok")
	}
	is.Equal(upstream.requests(), 10)
}

func TestNotRunMustCarryTheIdentityOfTheAttempt(t *testing.T) {
	is := is.New(t)
	refusal := func(id string) string {
		return "HTTP/1.1 503 Unavailable\r\nX-Not-Run: true\r\nX-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
	}
	own := newRawUpstream(t, func(_ int, request *http.Request) string { return refusal(request.Header.Get("X-Request-Id")) })
	_, refused := newHarness(forwarder.Config{}, own.listener.Addr().String()).call(t.Context(), t, http.MethodPost, "x", true)
	is.Equal(refused.Outcome, refuser.NotRun)
	other := newRawUpstream(t, func(int, *http.Request) string { return refusal("another") })
	_, refused = newHarness(forwarder.Config{}, other.listener.Addr().String()).call(t.Context(), t, http.MethodPost, "x", true)
	is.Equal(refused.Outcome, refuser.Unknown)
}

func TestAnswerOfAnotherRequestIsDropped(t *testing.T) {
	is := is.New(t)
	crossed := func(_ int, request *http.Request) string {
		return strings.Replace(okAnswer(request), "X-Request-Id: ", "X-Request-Id: another-", 1)
	}
	for _, trust := range []bool{false, true} {
		upstream := newRawUpstream(t, crossed)
		h := newHarness(forwarder.Config{
			AcceptAnyIdentity: trust,
		}, upstream.listener.Addr().String())
		answer, refused := h.call(t.Context(), t, http.MethodPost, "x", true)
		is.Equal(refused == nil, trust) // without the check the answer is delivered
		is.Equal(answer == "ok", trust)
	}
}

func TestUpstreamThatEchoedAnIdentityMustEchoAll(t *testing.T) {
	is := is.New(t)
	upstream := newRawUpstream(t, func(n int, request *http.Request) string {
		if n == 1 {
			return okAnswer(request)
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	})
	h := newHarness(forwarder.Config{}, upstream.listener.Addr().String())
	_, refused := h.call(t.Context(), t, http.MethodPost, "x", true)
	is.Equal(refused, nil)
	_, refused = h.call(t.Context(), t, http.MethodPost, "x", true)
	is.Equal(refused.Outcome, refuser.Unknown)
}

func TestTruncatedAnswerIsNotDelivered(t *testing.T) {
	is := is.New(t)
	upstream := newRawUpstream(t, func(_ int, request *http.Request) string {
		return strings.TrimSuffix(okAnswer(request), "k") + closeConnection
	})
	h := newHarness(forwarder.Config{}, upstream.listener.Addr().String())
	answer, refused := h.call(t.Context(), t, http.MethodPost, "x", true)
	is.Equal(answer, "")
	is.Equal(refused.Outcome, refuser.Unknown)
	is.Equal(upstream.requests(), 1)
}

func TestIdempotentCallIsRetried(t *testing.T) {
	is := is.New(t)
	upstream := newRawUpstream(t, func(n int, request *http.Request) string {
		if n == 1 {
			return closeConnection
		}
		return okAnswer(request)
	})
	healthy := newRawUpstream(t, func(_ int, request *http.Request) string { return okAnswer(request) })
	h := newHarness(forwarder.Config{}, upstream.listener.Addr().String(), healthy.listener.Addr().String())
	for range 8 {
		answer, refused := h.call(t.Context(), t, http.MethodGet, "", false)
		is.Equal(refused, nil)
		is.Equal(answer, "ok")
	}
}
