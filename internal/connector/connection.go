package connector

import (
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
)

// graceful makes the kernel go on sending after a connection is closed.
const graceful = -1

// connection is a connection that Close resets if the peer has not acknowledged all that was written. Otherwise the kernel would
// go on sending the rest after a partition, seconds after the request was given up.
type connection struct {
	// Conn is the socket. It is embedded as an interface, so that all writes are counted.
	net.Conn

	socket *net.TCPConn
	mu     sync.Mutex
	// writing is the number of writes that are under way.
	writing int
	closed  bool
}

// Write writes data. It returns an error that is net.ErrClosed once Close was called.
func (c *connection) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(data)
	c.mu.Lock()
	c.writing--
	c.mu.Unlock()
	return n, err
}

// Close closes the connection. It resets the connection if written bytes are unacknowledged or a write is under way.
func (c *connection) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.closed = true
	delivered := c.writing == 0 && c.acknowledged()
	c.mu.Unlock()
	if delivered {
		_ = c.socket.SetLinger(graceful)
	} else {
		resets.Inc()
	}
	return c.Conn.Close()
}

// acknowledged reports whether the peer is known to have received all that was written.
func (c *connection) acknowledged() bool {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return false
	}
	waiting := 0
	var queryErr error
	err = raw.Control(func(descriptor uintptr) {
		waiting, queryErr = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
	})
	return err == nil && queryErr == nil && waiting == 0
}

var resets = metrics.NewCounter("buckthorngap_connections_reset_total")
