package forwarder

import (
	"net"
	"net/http"
	"sync"

	"github.com/buckthorngap/buckthorngap/internal/connector"
)

const (
	// writeBuffer and readBuffer are the buffers of a connection, in bytes.
	writeBuffer = 4 << 10
	readBuffer  = 4 << 10
	// answerHeader is the largest header of an answer, in bytes.
	answerHeader = 64 << 10
)

// conn is a connection that counts writes, so that it can be proved that no
// byte of a request has left.
type conn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts the write before any byte of it can leave. It returns *Sealed
// after the attempt was given up as unsent.
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

func (c *conn) mark() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal refuses all further writes if there was none since the mark, and tells
// whether there was none.
func (c *conn) seal(mark uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != mark {
		return false
	}
	c.sealed = true
	return true
}

func newTransport(config Config) *http.Transport {
	d := &dialer{
		dialer: connector.New(config.Dial),
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            d.dial,
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    config.Idle,
		MaxResponseHeaderBytes: answerHeader,
		WriteBufferSize:        writeBuffer,
		ReadBufferSize:         readBuffer,
	}
}
