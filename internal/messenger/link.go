package messenger

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/buckthorngap/buckthorngap/internal/certifier"
)

const (
	closeNormal  quic.ApplicationErrorCode = 0
	closeRefused quic.ApplicationErrorCode = 1
	streamCancel quic.StreamErrorCode      = 1
)

// link is a connection to an authenticated peer.
type link struct {
	messenger  *Messenger
	connection *quic.Conn
	subject    certifier.Subject
	// accepted is set if the peer opened the connection.
	accepted bool
	openedAt time.Time
}

// crossed reports whether the other connection to the same peer was opened from the opposite
// side at about the same time.
func (l *link) crossed(other *link) bool {
	return l.open() && l.accepted != other.accepted && other.openedAt.Sub(l.openedAt) < handshakeTimeout
}

// preferred reports whether the connection was opened by the side whose name sorts first.
func (l *link) preferred() bool {
	return l.accepted == (l.subject.Name < l.messenger.config.Self.Name)
}

// loop answers the message on each stream that the peer opens, until the connection ends.
func (l *link) loop(ctx context.Context) {
	defer l.messenger.removeLink(l)
	for {
		stream, err := l.connection.AcceptStream(ctx)
		if err != nil {
			l.close("done")
			return
		}
		x := &exchange{
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

// reaches reports whether the link can be used for a peer at an address. A connection that the
// peer opened may come from another address than the peer advertises.
func (l *link) reaches(address netip.AddrPort) bool {
	return l.accepted || l.address() == address
}

// packetsReceived returns the number of packets that came from the peer.
func (l *link) packetsReceived() uint64 { return l.connection.ConnectionStats().PacketsReceived }
