package connector

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// peerBuffer is the size of the peer's receive buffer, in bytes. What is written beyond it waits at the sender, as behind a partition.
const peerBuffer = 4 << 10

// dialStalled returns a connection to a peer that reads nothing yet, and the peer's end.
func dialStalled(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listening := net.ListenConfig{
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, peerBuffer)
			})
		},
	}
	listener, err := listening.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	near, err = New(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	far, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	return near, far
}

// TestCloseDiscardsWhatThePeerHasNotReceived guards against a request that was given up and still reaches its upstream, once a
// partition has ended or the upstream reads on.
func TestCloseDiscardsWhatThePeerHasNotReceived(t *testing.T) {
	closed := (*connection).Close
	for _, c := range []struct {
		name  string
		bytes int
		// underWay is set if the write has not returned when the connection is closed.
		underWay bool
		end      func(*connection) error
		// reset is set if the peer does not get all bytes.
		reset bool
	}{
		{name: "bytes wait", bytes: 16 * peerBuffer, end: closed, reset: true},
		{name: "a write is under way", bytes: 64 << 20, underWay: true, end: closed, reset: true},
		{name: "all was received", bytes: 100, end: closed},
		{name: "nothing was written", end: closed},
		{name: "the process ends", bytes: 16 * peerBuffer, end: func(c *connection) error { return c.socket.Close() }, reset: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			near, far := dialStalled(t)
			sender := near.(*connection)
			write := func() { _, _ = sender.Write(make([]byte, c.bytes)) }
			if c.underWay {
				go write()
				for sender.acknowledged() {
					time.Sleep(time.Millisecond)
				}
			} else {
				write()
			}
			for !c.reset && !sender.acknowledged() {
				time.Sleep(time.Millisecond)
			}
			is.NoErr(c.end(sender))
			received, err := io.Copy(io.Discard, far)
			is.Equal(errors.Is(err, syscall.ECONNRESET), c.reset)
			is.Equal(received < int64(c.bytes), c.reset)
			_, err = sender.Write([]byte("late"))
			is.True(errors.Is(err, net.ErrClosed))
		})
	}
}
