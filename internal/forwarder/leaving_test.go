package forwarder_test

import (
	"net/http"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/drainer"
	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// TestRequestIsNotSentToAnUpstreamThatBeganToLeave guards against a request that was placed at an upstream before that began to
// leave, and is sent there afterwards.
func TestRequestIsNotSentToAnUpstreamThatBeganToLeave(t *testing.T) {
	for name, unlisted := range map[string]bool{
		"leaving":  false,
		"unlisted": true,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answer := func(_ int, request *http.Request) string { return okAnswer(request) }
			a, b := newRawUpstream(t, answer), newRawUpstream(t, answer)
			h := newHarness(forwarder.Config{}, a.address(), b.address())
			chosen := ""
			h.picked = func(choice *router.Choice) {
				chosen = choice.Upstream
				for i := range h.rows {
					h.rows[i].Leaving = h.rows[i].Name == chosen
				}
				if unlisted {
					h.rows = slices.DeleteFunc(h.rows, func(row storer.Instance) bool { return row.Leaving })
				}
				h.router.Refresh()
			}
			c := newRouted()
			c.Repeatable, c.MaxAttempts = false, 1
			got := h.route(t.Context(), t, c)
			is.Equal(got.refused, nil)
			is.Equal(got.status, http.StatusOK)
			is.True(got.result.Upstream != chosen)
			is.Equal(a.requests()+b.requests(), 1)
		})
	}
}

// TestRequestIsRefusedIfAllUpstreamsBeganToLeave checks that a request which no upstream may get is refused as not run.
func TestRequestIsRefusedIfAllUpstreamsBeganToLeave(t *testing.T) {
	is := is.New(t)
	a := newRawUpstream(t, func(_ int, request *http.Request) string { return okAnswer(request) })
	h := newHarness(forwarder.Config{}, a.address())
	h.picked = func(*router.Choice) {
		h.rows[0].Leaving = true
		h.router.Refresh()
	}
	got := h.route(t.Context(), t, newRouted())
	is.True(got.refused != nil)
	is.Equal(got.refused.Code, refuser.CodeNoUpstream)
	is.Equal(got.refused.Outcome, refuser.NotRun)
	is.Equal(a.requests(), 0)
}

// TestAnswerTellsThatItsUpstreamLeaves checks which start of an upstream an answer is taken to speak of: the one that was
// listed when the request was placed.
func TestAnswerTellsThatItsUpstreamLeaves(t *testing.T) {
	is := is.New(t)
	states := []string{"", "X-Leaving: true\r\n", "X-Leaving: no\r\n"}
	a := newRawUpstream(t, func(n int, request *http.Request) string {
		return "HTTP/1.1 200 OK\r\n" + states[n-1] + "X-Request-Id: " + request.Header.Get("X-Request-Id") + "\r\nContent-Length: 2\r\n\r\nok"
	})
	h := newHarness(forwarder.Config{}, a.address())
	for range states {
		got := h.route(t.Context(), t, newRouted())
		is.Equal(got.body, "ok")
	}
	is.Equal(h.departures, []drainer.Departure{
		{
			Upstream: "a",
			Start:    "1",
			Address:  h.rows[0].Address,
		},
	})
}
