package linker

import (
	"context"
	"net"
)

// connectionRelay relays TCP connections to one target. A partition closes them and refuses new ones.
type connectionRelay struct {
	relay    Relay
	linker   *Linker
	failures chan<- error
}

func (c *connectionRelay) run(ctx context.Context) {
	listener, err := net.Listen("tcp", c.relay.Listen.String())
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
