package linker

import "context"

// partitionWatcher closes both sides of a relayed connection when its failure
// domains are partitioned or the connection's context ends.
type partitionWatcher struct {
	connection *relayedConnection
}

func (w *partitionWatcher) run(ctx context.Context) {
	relay := w.connection.relay
	defer func() {
		_ = w.connection.sender.Close()
		_ = w.connection.target.Close()
	}()
	for {
		cut, changed := relay.linker.isPartitioned(relay.config.From, relay.config.To)
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
