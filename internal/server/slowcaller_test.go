package server_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/server"
)

// TestCallerThatReadsNothingHoldsLittle checks that the instance stops reading a stream for a caller that does not read it, and
// ends the stream after the read timeout.
func TestCallerThatReadsNothingHoldsLittle(t *testing.T) {
	is := is.New(t)
	const endless, buffers = 256 << 20, 32 << 20
	var written atomic.Int64
	ended := make(chan struct{})
	f := newRoutedFixture(t, server.Config{
		ReadTimeout: 500 * time.Millisecond,
	}, func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		event := []byte("data: " + strings.Repeat("x", 16<<10) + "\n\n")
		for written.Load() < endless {
			n, err := w.Write(event)
			if err != nil {
				return
			}
			written.Add(int64(n))
		}
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /prompt/1 HTTP/1.1\r\nHost: depot.example\r\nX-Model: ledger\r\n\r\n")
	is.NoErr(err)
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the stream to a caller that reads nothing goes on")
	}
	t.Logf("%d bytes sent", written.Load())
	is.True(written.Load() < buffers) // the kernel's buffers of two connections, and the instance's own
}
