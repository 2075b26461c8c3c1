package forwarder

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestConnectionBrokeTellsBrokenConnectionsFromOtherFailures guards against engines that are taken for crashed because a
// caller left or time ran out.
func TestConnectionBrokeTellsBrokenConnectionsFromOtherFailures(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	accepted, err := listener.Accept()
	is.NoErr(err)
	is.NoErr(accepted.(*net.TCPConn).SetLinger(0))
	is.NoErr(accepted.Close())
	_, reset := conn.Read(make([]byte, 1))
	is.True(connectionBroke(reset))
	is.True(connectionBroke(io.EOF))
	is.True(connectionBroke(io.ErrUnexpectedEOF))
	is.True(!connectionBroke(context.DeadlineExceeded))
	is.True(!connectionBroke(context.Canceled))
	is.True(!connectionBroke(nil))
}
