package forwarder_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// refusalOf returns the refusal of a request that did not run, for lack of an adapter.
func refusalOf(id string) string {
	return "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: " + id + "\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
}

// TestRepeatedRefusalIsNotBelieved guards against an earlier refusal that an engine writes once more on a kept connection
// and that is taken for the answer to a request which runs.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	for name, repeated := range map[string]string{
		"of another request":    refusalOf("earlier"),
		"of nobody":             "HTTP/1.1 503 Full\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
		"misdirected, nobody's": "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			upstream := newRawUpstream(t, func(n int, request *http.Request) string {
				if n == 1 {
					return okAnswer(request)
				}
				return repeated // and runs the request
			})
			h := newHarness(forwarder.Config{}, upstream.address())
			is.Equal(h.route(t.Context(), t, newRouted()).refused, nil)
			c := newRouted()
			c.Repeatable = false
			got := h.route(t.Context(), t, c)
			is.True(got.refused != nil)
			is.Equal(got.refused.Outcome, refuser.Unknown)
			is.Equal(upstream.requests(), 2)
		})
	}
}

// TestRefusalOfAnEarlierTryIsNotBelieved guards against the refusal of a request that is written once more when the same
// request has come again on the same connection, and then runs.
func TestRefusalOfAnEarlierTryIsNotBelieved(t *testing.T) {
	full := func(id string) string {
		return "HTTP/1.1 503 Full\r\nX-Request-Id: " + id + "\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
	}
	for name, test := range map[string]struct {
		refusal func(id string) string
		// upstreams is the number of upstreams; all but the first are always full.
		upstreams int
	}{
		"for lack of an adapter": {
			refusal:   refusalOf,
			upstreams: 1,
		},
		"full, and has room again": {
			refusal:   full,
			upstreams: 1,
		},
		"full, and has room again after another one was tried": {
			refusal:   full,
			upstreams: 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			connections := map[string]int{}
			first := newRawUpstream(t, func(_ int, request *http.Request) string {
				connections[request.RemoteAddr]++
				if connections[request.RemoteAddr] > 1 || len(connections) == 1 {
					return test.refusal(request.Header.Get("X-Request-Id"))
				}
				return okAnswer(request)
			})
			addresses := []string{first.address()}
			for range test.upstreams - 1 {
				addresses = append(addresses, newRawUpstream(t, func(_ int, request *http.Request) string {
					return full(request.Header.Get("X-Request-Id"))
				}).address())
			}
			h := newHarness(forwarder.Config{}, addresses...)
			c := newRouted()
			c.Repeatable, c.MaxAttempts = false, 1
			again := func() (*router.Choice, bool) {
				return h.router.PickUpstream("a", router.Need{
					Service: "depot",
				})
			}
			c.Reacquire = func(string) (*router.Choice, bool) { return again() }
			c.Await = func(context.Context) (*router.Choice, error) {
				choice, _ := again()
				return choice, nil
			}
			got := h.route(t.Context(), t, c)
			is.Equal(got.refused, nil)
			is.Equal(got.body, "ok")
			is.Equal(len(connections), 2)
			is.Equal(first.requests(), 2)
		})
	}
}
