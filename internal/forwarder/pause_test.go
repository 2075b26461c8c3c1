package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// TestPausesAreReadWithinBounds guards against times that keep an upstream without requests for ever, or that are not heeded.
func TestPausesAreReadWithinBounds(t *testing.T) {
	for text, want := range map[string]struct {
		pause time.Duration
		exact bool
	}{
		"2":                             {2 * time.Second, true},
		" 3 ":                           {3 * time.Second, true},
		"0":                             {0, true},
		"1.25":                          {1250 * time.Millisecond, true},
		"3600":                          {time.Hour, true},
		"3600.5":                        {time.Hour, false},
		"3155760000":                    {time.Hour, false},
		"1e400":                         {time.Hour, false},
		"-1":                            {0, false},
		"-1e400":                        {0, false},
		"NaN":                           {time.Second, false},
		"soon":                          {time.Second, false},
		"Sat, 05 Dec 2026 11:00:00 GMT": {time.Second, false},
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			pause, exact := forwarder.ParsePause(text)
			is.Equal(pause, want.pause)
			is.Equal(exact, want.exact)
		})
	}
}

// turnedAway returns an answer that turns the request r away for a number of seconds.
func turnedAway(seconds string) string {
	return "HTTP/1.1 503 Full\r\nX-Request-Id: r\r\nX-Not-Run: true\r\nRetry-After: " + seconds + "\r\nContent-Length: 0\r\n\r\n"
}

// TestUpstreamThatTurnedARequestAwayIsLeftAlone guards against requests to an upstream in the time for which it wants none: new
// ones, and one that was placed before.
func TestUpstreamThatTurnedARequestAwayIsLeftAlone(t *testing.T) {
	is := is.New(t)
	a := newRawUpstream(t, func(int, *http.Request) string { return turnedAway("30") })
	b := newRawUpstream(t, func(_ int, request *http.Request) string { return okAnswer(request) })
	h := newHarness(forwarder.Config{}, a.address(), b.address())
	for a.requests() == 0 {
		is.Equal(h.route(t.Context(), t, newRouted()).refused, nil)
	}
	for range 20 {
		is.Equal(h.route(t.Context(), t, newRouted()).refused, nil)
	}
	is.Equal(a.requests(), 1) // BUDGET
	h.picked = func(choice *router.Choice) { is.True(choice.ObservePause(time.Now().Add(time.Minute))) }
	got := h.route(t.Context(), t, newRouted())
	is.True(got.refused != nil)
	is.Equal(got.refused.Outcome, refuser.NotRun)
	is.Equal(got.refused.Code, refuser.CodeNoUpstream)
	is.Equal(a.requests(), 1)
}

// TestFailureWithoutATimeIsNoPause checks that only a 503 of the request itself that states a time keeps requests away.
func TestFailureWithoutATimeIsNoPause(t *testing.T) {
	for name, answer := range map[string]string{
		"no time":            "HTTP/1.1 503 Full\r\nX-Request-Id: r\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
		"of another request": "HTTP/1.1 503 Full\r\nX-Request-Id: other\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n",
		"no pause":           turnedAway("0"),
		"before now":         turnedAway("-5"),
		"another status":     "HTTP/1.1 429 Many\r\nX-Request-Id: r\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := newRawUpstream(t, func(int, *http.Request) string { return answer })
			h := newHarness(forwarder.Config{}, a.address())
			h.route(t.Context(), t, newRouted())
			h.route(t.Context(), t, newRouted())
			is.Equal(a.requests(), 2)
		})
	}
}
