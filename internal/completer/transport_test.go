package completer_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/completer"
)

// server answers each request on raw connections once it has read the head and a part of the body.
type server struct {
	listener net.Listener
	// answer is what it sends, and read how much of the body it reads before.
	answer string
	read   int64
	// end ends the connection.
	end func(conn *net.TCPConn)
}

// reset closes a connection with a TCP reset, and half closes only the server's side.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func half(conn *net.TCPConn) { _ = conn.CloseWrite() }

func (s *server) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.loop(conn.(*net.TCPConn))
	}
}

func (s *server) loop(conn *net.TCPConn) {
	request, err := http.ReadRequest(bufio.NewReaderSize(conn, 16))
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, request.Body, s.read)
	_, _ = io.WriteString(conn, s.answer)
	time.Sleep(20 * time.Millisecond) // the client reads the answer while its own writes are under way
	s.end(conn)
}

// send sends a body and returns that of the answer.
func (s *server) send(t *testing.T, transport http.RoundTripper, size int64) (string, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	s.listener = listener
	go s.run()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+listener.Addr().String(), bytes.NewReader(make([]byte, size)))
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

// TestAnswerThatEndsEarlyIsNotWhole guards against a part of an answer that passes for the whole one, because its connection
// ended while the request was still being written.
func TestAnswerThatEndsEarlyIsNotWhole(t *testing.T) {
	const long = 32 << 20
	const endless, stated = "HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"
	for name, test := range map[string]struct {
		answer string
		// size is that of the request's body, and read how much of it is read.
		size, read int64
		end        func(conn *net.TCPConn)
		whole      bool
	}{
		"reset early":              {endless, long, 0, reset, false},
		"reset halfway":            {endless, long, long / 2, reset, false},
		"closed early":             {endless, long, 0, half, false},
		"reset after the request":  {endless, 10, 10, reset, false},
		"closed after the request": {endless, long, long, half, true},
		"without a body":           {endless, 0, 0, half, true},
		"early with a length":      {stated, long, 0, half, true},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				is := is.New(t)
				transport := completer.New(&http.Transport{}, completer.Config{})
				s := server{
					answer: test.answer,
					read:   test.read,
					end:    test.end,
				}
				content, err := s.send(t, transport, test.size)
				transport.CloseIdleConnections()
				is.Equal(err == nil, test.whole) // MIXED
				is.True(err != nil || content == "part")
			}
		})
	}
}

// TestOddStatusIsNoAnswer guards against answers that are none.
func TestOddStatusIsNoAnswer(t *testing.T) {
	for status, odd := range map[string]bool{
		"000": true, "001": true, "099": true, "101": true, "600": true, "999": true,
		"200": false, "204": false, "299": false, "404": false, "599": false,
	} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			s := server{
				answer: "HTTP/1.1 " + status + " X\r\nConnection: upgrade\r\nUpgrade: x\r\nContent-Length: 0\r\n\r\n",
				end:    half,
			}
			_, err := s.send(t, completer.New(&http.Transport{}, completer.Config{}), 0)
			var none *completer.NoStatus
			is.Equal(errors.As(err, &none), odd) // MIXED
			is.True(odd || err == nil)
		})
	}
}
