package acceptor_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/acceptor"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

// serve serves requests behind an Acceptor and returns its address. A request to /wait is sent on running, and is answered once
// the other channel is closed.
func serve(t *testing.T, config acceptor.Config) (address string, running, answer chan struct{}) {
	t.Helper()
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	running, answer = make(chan struct{}, 1), make(chan struct{})
	config.Log = logrus.New()
	server := &http.Server{
		ConnState: acceptor.ObserveState,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				running <- struct{}{}
				<-answer
			}
		}),
	}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(acceptor.New(plain, config)) }()
	return plain.Addr().String(), running, answer
}

// send sends bytes on a new connection.
func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// status returns the status line that a connection receives.
func status(t *testing.T, c net.Conn) string {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	buffer := make([]byte, 64)
	n, _ := c.Read(buffer)
	line, _, _ := strings.Cut(string(buffer[:n]), "\r\n")
	return line
}

const (
	ordinary = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	ok       = "HTTP/1.1 200 OK"
	busy     = "HTTP/1.1 503 Service Unavailable"
)

// large returns a request with a large head for a path.
func large(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("x:\n", 300) + "\r\n"
}

func TestLargeHeadsShareTheMemory(t *testing.T) {
	is := is.New(t)
	address, running, answer := serve(t, acceptor.Config{
		HeadMemory: 100 << 10, // for one of them
	})
	first := send(t, address, large("/wait"))
	<-running
	is.Equal(status(t, send(t, address, large("/"))), busy)
	is.Equal(status(t, send(t, address, "\r\n"+ordinary)), "HTTP/1.1 400 Bad Request") // net/http takes no empty line first
	is.Equal(status(t, send(t, address, ordinary)), ok)                                // ordinary heads are free
	close(answer)
	is.Equal(status(t, first), ok)
	answered := func() bool { return status(t, send(t, address, large("/"))) == ok }
	is.True(waiter.Poll(t.Context(), time.Millisecond, answered)) // the first request gives its memory back once it has ended
}

// TestEachHeadOfAConnectionCounts sends a small request and the beginning of a large one together.
func TestEachHeadOfAConnectionCounts(t *testing.T) {
	is := is.New(t)
	address, _, _ := serve(t, acceptor.Config{
		HeadMemory: 1 << 10,
	})
	c := send(t, address, ordinary+large("/"))
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	answers, _ := io.ReadAll(c)
	is.Equal(strings.Count(string(answers), ok), 1) // the second one is not parsed
}

// TestIdlestConnectionMakesRoom fills all places with connections that send no request.
func TestIdlestConnectionMakesRoom(t *testing.T) {
	is := is.New(t)
	address, running, answer := serve(t, acceptor.Config{
		MaxConnections: 2,
	})
	unfinished := send(t, address, "GET / HTTP/1.1\r\n")
	waiting := send(t, address, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	<-running
	is.Equal(status(t, send(t, address, ordinary)), ok)
	is.Equal(status(t, unfinished), "") // closed
	close(answer)
	is.Equal(status(t, waiting), ok)
}
