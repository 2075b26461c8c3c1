package linker

import (
	"context"
	"net"
)

// connectionRelay relays TCP connections to one target. A partition closes them and refuses new ones.
type connectionRelay struct {
	config   Relay
	linker   *Linker
	failures chan<- error
}

func (c *connectionRelay) run(ctx context.Context) {
	listener, err := net.Listen("tcp", c.config.Listen.String())
	if err != nil {
		c.failures <- err
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		connection := &relayedConnection{
			relay:  c,
			sender: accepted,
		}
		go connection.run(ctx)
	}
}
