package linker

import "context"

// cutWatch closes both sides of a connection when its failure domains are
// partitioned or the connection's context ends.
type cutWatch struct {
	connection *relayedConnection
}

func (w *cutWatch) run(ctx context.Context) {
	relay := w.connection.relay
	defer func() {
		_ = w.connection.sender.Close()
		_ = w.connection.target.Close()
	}()
	for {
		cut, changed := relay.linker.isCut(relay.relay.From, relay.relay.To)
		if cut {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
