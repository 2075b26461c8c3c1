package completer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Conn is a connection that records whether a write has failed, and bounds the head of each answer.
type Conn struct {
	net.Conn

	// headBytes is the maximum size of a head, in bytes.
	headBytes int64
	reading   sync.Mutex
	head      head

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

// Read implements net.Conn. It returns *HeadTooLarge once the head of the answer under way exceeds the limit.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.head.add(data[:n]) > c.headBytes {
		return 0, &HeadTooLarge{
			Bytes: c.headBytes,
		}
	}
	return n, err
}

// ExpectAnswer begins to count the head of the next answer.
func (c *Conn) ExpectAnswer() {
	c.reading.Lock()
	defer c.reading.Unlock()
	c.head = head{}
}

// WriteFailed waits for the end of a write that is under way, and reports whether any has failed.
func (c *Conn) WriteFailed() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failed.Load()
}

// Dial is the type of http.Transport.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Wrap returns a Dial whose connections are of type *Conn, with a maximum size of heads in bytes.
func Wrap(dial Dial, headBytes int64) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{
			Conn:      plain,
			headBytes: headBytes,
		}, nil
	}
}
