package completer_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/completer"
)

// maxHead is the maximum size of a head in these tests, in bytes.
const maxHead = 1 << 10

// keeper answers all requests in the same way on raw connections that it keeps.
type keeper struct {
	listener net.Listener
	answer   string
	// accepted counts the connections.
	accepted atomic.Int64
}

func newKeeper(t *testing.T, answer string) *keeper {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	k := &keeper{
		listener: listener,
		answer:   answer,
	}
	go k.run()
	return k
}

func (k *keeper) run() {
	for {
		conn, err := k.listener.Accept()
		if err != nil {
			return
		}
		k.accepted.Add(1)
		go k.loop(conn)
	}
}

func (k *keeper) loop(conn net.Conn) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := io.WriteString(conn, k.answer); err != nil {
			return
		}
	}
}

// get sends a request to the keeper.
func (k *keeper) get(t *testing.T, transport http.RoundTripper) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+k.listener.Addr().String(), http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	return transport.RoundTrip(request)
}

// TestHeadIsBounded guards against heads that take far more memory than their bytes, and against a count that goes on in the body or
// from one answer to the next on a kept connection.
func TestHeadIsBounded(t *testing.T) {
	body := strings.Repeat("\n", 4*maxHead)
	whole := "HTTP/1.1 200 OK\r\nContent-Length: 4096\r\n\r\n" + body
	for name, test := range map[string]struct {
		answer  string
		refused bool
	}{
		"ordinary":                {answer: whole},
		"as many lines as fit":    {answer: "HTTP/1.1 200 OK\r\n" + strings.Repeat("x:\n", 13) + "Content-Length: 0\r\n\r\n"},
		"after interim answers":   {answer: strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 3) + whole},
		"too many short lines":    {answer: "HTTP/1.1 200 OK\r\n" + strings.Repeat("x:\n", 16) + "\r\n", refused: true},
		"too long a line":         {answer: "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxHead) + "\r\n\r\n", refused: true},
		"too long a status line":  {answer: "HTTP/1.1 200 " + strings.Repeat("x", maxHead), refused: true},
		"too many interim heads":  {answer: strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 16) + whole, refused: true},
		"empty lines without end": {answer: strings.Repeat("\r\n", maxHead), refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := newKeeper(t, test.answer)
			transport := completer.New(&http.Transport{}, completer.Config{
				HeadBytes: maxHead,
			})
			for range 3 {
				response, err := k.get(t, transport)
				var tooLarge *completer.HeadTooLarge
				is.Equal(errors.As(err, &tooLarge), test.refused)
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
					is.NoErr(err)
					response.Body.Close()
				}
			}
			if !test.refused {
				is.Equal(k.accepted.Load(), int64(1)) // the connection was kept
			}
		})
	}
}
