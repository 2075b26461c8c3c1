package linker

import (
	"context"
	"io"
	"net"
)

// relayedConnection is one TCP connection that a relay forwards from a sender to the target.
type relayedConnection struct {
	relay  *connectionRelay
	sender net.Conn
	target net.Conn
}

// run connects to the target and copies both directions until either side
// closes or a partition closes the connection.
func (r *relayedConnection) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = r.sender.Close() }()
	if cut, _ := r.relay.linker.isPartitioned(r.relay.config.From, r.relay.config.To); cut {
		return
	}
	target, err := net.Dial("tcp", r.relay.config.Target.String())
	if err != nil {
		return
	}
	r.target = target
	watcher := &partitionWatcher{
		connection: r,
	}
	go watcher.run(ctx)
	reverse := &copier{
		from:   r.target,
		to:     r.sender,
		cancel: cancel,
	}
	go reverse.run()
	_, _ = io.Copy(r.target, r.sender)
	_ = r.target.Close()
}
