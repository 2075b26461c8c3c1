package completer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Conn is a connection that records whether a write has failed.
type Conn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	failed  atomic.Bool
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

// WriteFailed waits for the end of a write that is under way, and reports whether any has failed.
func (c *Conn) WriteFailed() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failed.Load()
}

// Dial is the type of http.Transport.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Wrap returns a Dial whose connections are of type *Conn.
func Wrap(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{
			Conn: plain,
		}, nil
	}
}
