package forwarder

import (
	"net"
	"net/http"
	"sync"

	"github.com/buckthorngap/buckthorngap/internal/connector"
)

const (
	// writeBuffer and readBuffer are the buffer sizes of a connection, in bytes.
	writeBuffer = 4 << 10
	readBuffer  = 4 << 10
	// answerHeader is the maximum size of an answer's header, in bytes.
	answerHeader = 64 << 10
)

// conn counts the writes of a connection, which proves that no byte of a request
// was sent if the count did not change since the request got the connection.
type conn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	// sealed is set once an attempt was declared unsent; all later writes fail.
	sealed bool
}

// Write counts the write before any byte of it can be sent. It returns *Sealed
// after an attempt on the connection was declared unsent.
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

// mark returns the number of writes so far, to be passed to seal.
func (c *conn) mark() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal blocks all further writes and returns true if there was no write since the
// mark. Otherwise it returns false and changes nothing.
func (c *conn) seal(mark uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != mark {
		return false
	}
	c.sealed = true
	return true
}

// newTransport returns an HTTP/1.1 transport without compression, whose connections
// count their writes.
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
