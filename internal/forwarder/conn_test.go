package forwarder

import (
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestSealedConnectionSendsNothingMore guards against a request that is declared not run and that the
// transport writes to the connection afterwards.
func TestSealedConnectionSendsNothingMore(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	c := &conn{
		Conn: near,
	}
	a := &attempt{
		conn:         c,
		writesBefore: c.writeCount(),
	}
	is.True(a.unsent())
	_, err := c.Write([]byte("late"))
	var sealed *Sealed
	is.True(errors.As(err, &sealed))
}

func TestAttemptWithAFailedWriteMayHaveRun(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	c := &conn{
		Conn: near,
	}
	a := &attempt{
		conn:         c,
		writesBefore: c.writeCount(),
	}
	far.Close()
	_, err := c.Write([]byte("x"))
	is.True(err != nil)
	is.True(!a.unsent()) // the write failed, but bytes may have been sent
}
