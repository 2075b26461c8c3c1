package forwarder_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/forwarder"
)

// eventStream returns the head of a stream, with further fields, and its body.
func eventStream(fields, body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + fields + "\r\n" + body
}

// TestStreamThatEndsInsideAnEventIsBrokenOff guards against a stream without length that is passed on as complete
// although its engine ended in the middle of an event.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n"
	for name, c := range map[string]struct {
		reply    string
		complete bool
	}{
		"after an event":           {eventStream("", "id: 1\ndata: a\n\n"), true},
		"after an event with CRLF": {eventStream("", "id: 1\r\ndata: a\r\n\r\n"), true},
		"after a comment":          {eventStream("", "id: 1\ndata: a\n\n: end\n\n"), true},
		"inside a line":            {eventStream("", "id: 1\ndata: a\n\nid: 2\nda"), false},
		"after a line":             {eventStream("", "id: 1\ndata: a\n\nid: 2\ndata: b\n"), false},
		"before an event":          {eventStream("", ""), false},
		"chunked, after an event":  {eventStream(chunked, "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"), true},
		"chunked, inside a line":   {eventStream(chunked, "4\r\nid: \r\n0\r\n\r\n"), false},
		"with a length":            {eventStream("Content-Length: 15\r\n", "id: 1\ndata: a\n\n"), true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			upstream := newRawUpstream(t, func(int, *http.Request) string { return c.reply + closeConnection })
			request := newRouted()
			request.Stream, request.Repeatable = true, false
			broken := 0
			request.ReportBroken = func(forwarder.Break) { broken++ }
			request.ReportBegun = func(time.Time) {}
			got := newHarness(forwarder.Config{}, upstream.address()).route(t.Context(), t, request)
			is.Equal(got.refused == nil, c.complete)
			is.True(c.complete || broken == 1)
		})
	}
}

// TestStreamThatEndsAsItBeginsIsNoProof guards against a crash right after the first event that is taken for an answer,
// where nothing but the end of the connection ends the stream.
func TestStreamThatEndsAsItBeginsIsNoProof(t *testing.T) {
	is := is.New(t)
	upstream := newRawUpstream(t, func(int, *http.Request) string {
		return eventStream("", "id: 1\ndata: a\n\n") + closeConnection
	})
	c := newRouted()
	c.Stream, c.Repeatable = true, false
	begun, broken := 0, 0
	c.ReportBegun = func(time.Time) { begun++ }
	c.ReportBroken = func(forwarder.Break) { broken++ }
	got := newHarness(forwarder.Config{}, upstream.address()).route(t.Context(), t, c)
	is.Equal(got.refused, nil)
	is.Equal(begun, 0)
	is.Equal(broken, 1) // it counts only if the engine is found to be down
}

// TestBrokenStreamGetsNothingOfAnotherAnswer guards against the text of an error, or its head, in the middle of a stream that
// broke off, and against a broken stream that looks complete.
func TestBrokenStreamGetsNothingOfAnotherAnswer(t *testing.T) {
	is := is.New(t)
	const broken = "Transfer-Encoding: chunked\r\n"
	calls := 0
	reply := func(_ int, _ *http.Request) string {
		calls++
		switch calls {
		case 1:
			return "HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops"
		case 2:
			return eventStream(broken, "f\r\nid: 1\ndata: a\n\n\r\n8\r\nid: 2\nd") + closeConnection
		}
		return "HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops"
	}
	first, second, third := newRawUpstream(t, reply), newRawUpstream(t, reply), newRawUpstream(t, reply)
	c := newRouted()
	c.Stream, c.MaxAttempts = true, 3
	got := newHarness(forwarder.Config{
		Retry: func() bool { return true },
	}, first.address(), second.address(), third.address()).route(t.Context(), t, c)
	is.Equal(calls, 2) // a stream that has begun is not sent on
	is.Equal(got.status, http.StatusOK)
	is.True(got.refused != nil)
	is.True(strings.HasPrefix(got.body, "id: 1\ndata: a\n\n"))
	is.True(!strings.Contains(got.body, "oops"))
	is.True(!strings.Contains(got.body, "HTTP/1.1"))
}

// TestCompleteAnswersAreReported guards against engines whose answers are no streams and never count as answered.
func TestCompleteAnswersAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		reply                   string
		begun, broken, complete int
	}{
		"with a length":    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1, 0, 1},
		"without a length": {"HTTP/1.1 200 OK\r\n\r\nok" + closeConnection, 0, 1, 0},
		"broken off":       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok" + closeConnection, 0, 1, 0},
		"an error":         {"HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nok", 0, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			upstream := newRawUpstream(t, func(int, *http.Request) string { return c.reply })
			request := newRouted()
			request.Repeatable = false
			begun, broken, complete := 0, 0, 0
			request.ReportComplete = func(time.Time) { complete++ }
			request.ReportBegun = func(time.Time) { begun++ }
			request.ReportBroken = func(forwarder.Break) { broken++ }
			_ = newHarness(forwarder.Config{}, upstream.address()).route(t.Context(), t, request)
			is.Equal(begun, c.begun)
			is.Equal(broken, c.broken)
			is.Equal(complete, c.complete)
		})
	}
}

// TestBreakTellsWhetherTheAnswerHadBegun guards against a crash late in a stream that is not reported, and one that is taken
// for one at its beginning.
func TestBreakTellsWhetherTheAnswerHadBegun(t *testing.T) {
	is := is.New(t)
	var broken []forwarder.Break
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		controller := http.NewResponseController(w)
		for range 4 {
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
			_ = controller.Flush()
			time.Sleep(80 * time.Millisecond)
		}
		panic(http.ErrAbortHandler)
	}))
	defer upstream.Close()
	request := newRouted()
	request.Stream, request.Repeatable = true, false
	request.ReportBegun = func(time.Time) {}
	request.ReportBroken = func(b forwarder.Break) { broken = append(broken, b) }
	sent := time.Now()
	_ = newHarness(forwarder.Config{}, strings.TrimPrefix(upstream.URL, "http://")).route(t.Context(), t, request)
	is.Equal(len(broken), 1)
	is.True(broken[0].Begun)
	is.True(!broken[0].Sent.Before(sent) && broken[0].Sent.Before(sent.Add(100*time.Millisecond)))
}
