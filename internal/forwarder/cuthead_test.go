package forwarder_test

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/forwarder"
)

// TestAnswerCutInsideItsHeadIsNoAnswer guards against a success with an empty or short body, framed as whole, because the
// upstream stopped in the middle of the head and closed: after each of its bytes, for a stream and for another answer.
func TestAnswerCutInsideItsHeadIsNoAnswer(t *testing.T) {
	heads := []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 150\r\nX-Seal: s\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\nX-Seal: s\nContent-Length: 10\n\n",
	}
	for number, head := range heads {
		for _, stream := range []bool{true, false} {
			t.Run(strconv.Itoa(number)+" stream="+strconv.FormatBool(stream), func(t *testing.T) {
				is := is.New(t)
				for cut := range len(head) {
					upstream := newRawUpstream(t, func(int, *http.Request) string { return head[:cut] + closeConnection })
					request := newRouted()
					request.Stream, request.Repeatable = stream, false
					got := newHarness(forwarder.Config{}, upstream.address()).route(t.Context(), t, request)
					is.True(got.refused != nil)
					is.Equal(got.status, 0) // nothing has reached the caller
					is.Equal(got.body, "")
				}
			})
		}
	}
}
