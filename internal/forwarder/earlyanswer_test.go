package forwarder_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/forwarder"
)

// longBody is larger than the buffers of a connection.
var longBody = strings.Repeat("x", 16<<20)

// earlyUpstream answers as soon as it has read the head of a request, and goes on with the connection by then.
func earlyUpstream(t *testing.T, answer string, then func(conn *net.TCPConn, rest *bufio.Reader, length int64)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				rest := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(rest)
					if err != nil {
						return
					}
					if _, err := io.WriteString(conn, answer); err != nil {
						return
					}
					time.Sleep(20 * time.Millisecond)
					then(conn.(*net.TCPConn), rest, request.ContentLength)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(conn *net.TCPConn, _ *bufio.Reader, _ int64) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// TestPartOfAnAnswerIsNoAnswer guards against a success that ends with the reset of its connection while the request is still
// being written, and against statuses that are none, for services, engines and streams.
func TestPartOfAnAnswerIsNoAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"reset":        "HTTP/1.1 200 OK\r\nX-Seal: s\r\n\r\npart",
		"reset stream": "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: part\n\n",
		"000":          "HTTP/1.1 000 OK\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\npart",
		"101":          "HTTP/1.1 101 OK\r\nX-Seal: s\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\npart",
		"600":          "HTTP/1.1 600 OK\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := earlyUpstream(t, answer, resetConnection)
			h := newHarness(forwarder.Config{}, address)
			_, refused := h.call(t.Context(), t, http.MethodPost, longBody, true)
			is.True(refused != nil) // MIXED
			for _, stream := range []bool{false, true} {
				request := newRouted()
				request.Method, request.Body, request.Repeatable, request.Stream = http.MethodPost, []byte(longBody), false, stream
				got := h.route(t.Context(), t, request)
				is.True(got.refused != nil) // MIXED
				is.True(stream || got.status == 0)
			}
		})
	}
}

// TestRestOfABodyIsNotMixed guards against other bytes where the rest of a body is due, after an engine has answered before it has
// read the body.
func TestRestOfABodyIsNotMixed(t *testing.T) {
	is := is.New(t)
	var mixed, whole atomic.Int64
	address := earlyUpstream(t, "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok", func(_ *net.TCPConn, rest *bufio.Reader, length int64) {
		body, _ := io.ReadAll(io.LimitReader(rest, length))
		if len(bytes.Trim(body, "x")) > 0 {
			mixed.Add(1)
		}
		if int64(len(body)) == length {
			whole.Add(1)
		}
	})
	h := newHarness(forwarder.Config{}, address)
	for range 20 {
		for _, body := range []string{longBody, "xx"} {
			request := newRouted()
			request.Method, request.Body = http.MethodPost, []byte(body)
			got := h.route(t.Context(), t, request)
			is.Equal(got.refused, nil)
			is.Equal(got.body, "ok")
		}
	}
	is.Equal(mixed.Load(), int64(0)) // UNASKED
	is.True(whole.Load() > 0)
}
