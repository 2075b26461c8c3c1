package messenger

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/buckthorngap/buckthorngap/internal/certifier"
)

// Error codes on the wire: of closed connections and of cancelled streams.
const (
	closeNormal  quic.ApplicationErrorCode = 0
	closeRefused quic.ApplicationErrorCode = 1
	streamCancel quic.StreamErrorCode      = 1
)

// link is a QUIC connection to an authenticated peer. Both sides open streams on it, one for each
// message.
type link struct {
	messenger  *Messenger
	connection *quic.Conn
	// subject is the peer's name and failure domain from its certificate.
	subject certifier.Subject
	// accepted is set if the peer opened the connection.
	accepted bool
	openedAt time.Time
}

// simultaneousWith reports whether the link is open and a newer connection to the same peer was opened
// from the opposite side at about the same time.
func (l *link) simultaneousWith(newer *link) bool {
	return l.open() && l.accepted != newer.accepted && newer.openedAt.Sub(l.openedAt) < handshakeTimeout
}

// preferred reports whether the connection was opened by the side whose name sorts first.
func (l *link) preferred() bool {
	return l.accepted == (l.subject.Name < l.messenger.config.Self.Name)
}

// loop answers the messages on the streams that the peer opens, until the connection ends.
func (l *link) loop(ctx context.Context) {
	defer l.messenger.removeLink(l)
	for {
		stream, err := l.connection.AcceptStream(ctx)
		if err != nil {
			l.close("done")
			return
		}
		x := &incomingCall{
			messenger: l.messenger,
			link:      l,
			stream:    stream,
		}
		go x.run(ctx)
	}
}

// close closes the connection; the peer sees the detail.
func (l *link) close(detail string) {
	_ = l.connection.CloseWithError(closeNormal, detail)
}

// open reports whether the connection is still open.
func (l *link) open() bool { return l.connection.Context().Err() == nil }

// address returns the peer's address.
func (l *link) address() netip.AddrPort {
	remote, ok := l.connection.RemoteAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	address := remote.AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// usableFor reports whether the link can be used for calls to its peer at an address. A connection that
// the peer opened is always usable, as it may come from another address than the peer advertises.
func (l *link) usableFor(address netip.AddrPort) bool {
	return l.accepted || l.address() == address
}

// packetsReceived returns the number of packets received from the peer.
func (l *link) packetsReceived() uint64 { return l.connection.ConnectionStats().PacketsReceived }
