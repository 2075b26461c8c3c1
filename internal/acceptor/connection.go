package acceptor

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// refusal is the answer to a head for which there is no memory: the request has not run, as its head is not complete.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// refusalTime is how long the refusal may take to be written.
const refusalTime = 100 * time.Millisecond

// connection is a connection of a client. It counts the head of each request while it is received.
type connection struct {
	net.Conn

	acceptor *Acceptor

	mu sync.Mutex
	// inHead is set while the connection is idle or receives a head.
	inHead bool
	// since is when inHead was set.
	since time.Time
	head  head
	// rest are the lines and bytes that were received last and follow the head: they may belong to the next one.
	restLines, restBytes int64
	// charged is the memory that counts against Config.HeadMemory.
	charged int64
	closed  bool
}

// Read counts what is received. It returns *HeadRefused if there is no memory for the head.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && !c.count(data[:n]) {
		_ = c.SetWriteDeadline(c.acceptor.config.Now().Add(refusalTime))
		_, _ = c.Write([]byte(refusal))
		_ = c.Close()
		return 0, &HeadRefused{}
	}
	return n, err
}

// count counts received bytes, and returns false if there is no memory for the head.
func (c *connection) count(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHead {
		n, ended := c.head.add(data)
		data = data[n:]
		c.inHead = !ended
	}
	c.restLines, c.restBytes = int64(bytes.Count(data, []byte("\n"))), int64(len(data))
	return c.chargeHead()
}

// chargeHead charges the memory of the head so far, and returns false if there is not enough. The caller holds the lock.
func (c *connection) chargeHead() bool {
	wanted := max(0, c.head.memory()-c.acceptor.config.FreeMemory)
	if wanted <= c.charged {
		return true
	}
	if !c.acceptor.charge(wanted - c.charged) {
		return false
	}
	c.charged = wanted
	return true
}

// await ends the request under way and awaits the head of the next one. It returns false if there is no memory for what was
// received of that already.
func (c *connection) await() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acceptor.charge(-c.charged)
	c.charged = 0
	c.inHead, c.since = true, c.acceptor.config.Now()
	c.head = newHead(c.restLines, c.restBytes)
	c.restLines, c.restBytes = 0, 0
	return c.chargeHead()
}

// idleSince returns since when the connection has no request under way, and false if it has one.
func (c *connection) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.inHead && !c.closed
}

// Close closes the connection and gives back its place and its memory.
func (c *connection) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	charged := c.charged
	c.charged = 0
	c.mu.Unlock()
	if first {
		c.acceptor.charge(-charged)
		c.acceptor.remove(c)
	}
	return c.Conn.Close()
}
