package forwarder

import (
	"net"
	"sync"
)

// conn is a connection that counts its writes. If the count has not changed since a request got the
// connection, no byte of the request was sent.
type conn struct {
	net.Conn

	mu sync.Mutex
	// writes is the number of calls to Write.
	writes uint64
	// sealed is set once an attempt was declared not run; all later writes fail.
	sealed bool
}

// Write counts the write before any byte of it can be sent. It returns *Sealed once an attempt on the
// connection was declared not run.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, &Sealed{}
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(data)
}

// writeCount returns the number of writes so far, to be passed to seal.
func (c *conn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal blocks all further writes and returns true if the number of writes is still the given one.
// Otherwise it returns false and changes nothing.
func (c *conn) seal(writes uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writes {
		return false
	}
	c.sealed = true
	return true
}
