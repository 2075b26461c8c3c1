package linker

import (
	"context"
	"io"
	"net"
)

// copier copies one direction of a connection and cancels the connection's context at the end.
type copier struct {
	from   net.Conn
	to     net.Conn
	cancel context.CancelFunc
}

func (c *copier) run() {
	defer c.cancel()
	_, _ = io.Copy(c.to, c.from)
}
