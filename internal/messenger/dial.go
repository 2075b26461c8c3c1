package messenger

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/buckthorngap/buckthorngap/internal/certifier"
)

// dial opens a connection to a peer, for all callers that wait for it.
type dial struct {
	messenger *Messenger
	peer      Peer
	// done is closed once link or err is set.
	done chan struct{}
	link *link
	err  error
}

// connect returns the open connection to a peer, or opens one. Concurrent callers share one dial.
func (m *Messenger) connect(ctx context.Context, to Peer) (*link, error) {
	m.lock.Lock()
	if l := m.links[to.Name]; l != nil && l.open() && l.usableFor(to.Address) {
		m.lock.Unlock()
		return l, nil
	}
	d := m.dials[to.Name]
	if d == nil || d.peer != to {
		d = &dial{
			messenger: m,
			peer:      to,
			done:      make(chan struct{}),
		}
		m.dials[to.Name] = d
		go d.run(m.done)
	}
	m.lock.Unlock()
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// run opens the connection and passes it, or the error, to the waiting callers.
func (d *dial) run(ctx context.Context) {
	m := d.messenger
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	d.link, d.err = d.open(ctx)
	m.lock.Lock()
	if m.dials[d.peer.Name] == d {
		delete(m.dials, d.peer.Name)
	}
	m.lock.Unlock()
	close(d.done)
}

// open dials the peer and authenticates it.
func (d *dial) open(ctx context.Context) (*link, error) {
	m := d.messenger
	m.counters.dialed.Add(1)
	address := net.UDPAddrFromAddrPort(d.peer.Address)
	connection, err := m.transport.Dial(ctx, address, m.clientTLS(d.peer.Name), m.config.quicConfig())
	if err != nil {
		return nil, err
	}
	subject, err := certifier.PeerSubject(connection.ConnectionState().TLS)
	if err != nil {
		m.refuse(connection, CodeIdentity)
		return nil, err
	}
	return m.addLink(connection, subject, false), nil
}

// clientTLS returns a TLS configuration that accepts only the instance with the given name.
func (m *Messenger) clientTLS(name string) *tls.Config {
	client := m.config.ClientTLS.Clone()
	client.NextProtos = []string{protocolName}
	client.ServerName = name
	verify := client.VerifyConnection
	client.VerifyConnection = func(state tls.ConnectionState) error {
		if verify != nil {
			if err := verify(state); err != nil {
				return err
			}
		}
		return certifier.CheckInstance(state, name)
	}
	return client
}
