package messenger

import (
	"cmp"
	"crypto/ecdsa"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"
)

const (
	// MaxBytes is the largest payload of a message or answer, in bytes.
	MaxBytes = 4 << 20

	// protocolName is the protocol that both sides negotiate by ALPN.
	protocolName = "buckthorngap/1"
	// maxEnvelopeBytes is the largest encoded message or answer: a payload of MaxBytes and its
	// envelope.
	maxEnvelopeBytes = MaxBytes + 4<<10
	// largeMessageBytes is the size from which a message takes memory of Config.BufferBytes.
	largeMessageBytes = 64 << 10

	// Receive windows of a stream and of a connection, initially and at most, in bytes.
	streamWindow        = 64 << 10
	streamWindowMax     = 512 << 10
	connectionWindow    = 128 << 10
	connectionWindowMax = 1 << 20
	// maxStreams is the maximum number of concurrent messages from the peer on one connection.
	maxStreams = 64

	handshakeTimeout = 2 * time.Second

	// Defaults of Config.
	defaultTimeout        = 10 * time.Second
	defaultIdleTimeout    = 30 * time.Second
	defaultMaxHandlers    = 256
	defaultMaxConnections = 1024
	defaultBufferBytes    = 32 << 20
)

// Config configures a Messenger.
type Config struct {
	// Self identifies this instance as the sender of its messages.
	Self Sender
	// Listen is the UDP address and port to listen on; port 0 selects a free one.
	Listen netip.AddrPort
	// ServerTLS configures accepted connections. It must require and verify client
	// certificates.
	ServerTLS *tls.Config
	// ClientTLS configures dialed connections. It must verify the server's chain; the server's
	// name is checked for each peer.
	ClientTLS *tls.Config
	// Timeout bounds each call, and the time in which a message from a peer must be received and
	// answered; zero means 10 s.
	Timeout time.Duration
	// IdleTimeout is the time without packets after which a connection is closed; zero means 30 s.
	IdleTimeout time.Duration
	// MaxHandlers is the maximum number of messages that are handled concurrently; zero means 256.
	MaxHandlers int
	// MaxConnections is the maximum number of accepted connections that are kept open; zero means 1024.
	MaxConnections int
	// BufferBytes is the memory limit for incoming messages of 64 KB or more, in bytes; zero means 32 MB.
	BufferBytes int64
	// Log receives one line for each event; nil means the standard logger.
	Log logrus.FieldLogger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// withDefaults returns the configuration with its defaults filled in.
func (c Config) withDefaults() Config {
	c.Timeout = cmp.Or(c.Timeout, defaultTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, defaultIdleTimeout)
	c.MaxHandlers = cmp.Or(c.MaxHandlers, defaultMaxHandlers)
	c.MaxConnections = cmp.Or(c.MaxConnections, defaultMaxConnections)
	c.BufferBytes = cmp.Or(c.BufferBytes, defaultBufferBytes)
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// quicConfig returns the QUIC settings of every connection. Receive windows start small, since most
// messages fit into one packet.
func (c Config) quicConfig() *quic.Config {
	return &quic.Config{
		Versions:                       []quic.Version{quic.Version1},
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 c.IdleTimeout,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindowMax,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     connectionWindowMax,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		DisablePathMTUDiscovery:        true,
	}
}

// serverTLS returns the TLS configuration of accepted connections.
func (c Config) serverTLS() *tls.Config {
	server := c.ServerTLS.Clone()
	server.NextProtos = []string{protocolName}
	return server
}

// resetKey derives the QUIC stateless reset key from the instance's private key. A restarted instance
// has the same key, so that it can reset its peers' connections to its previous start at once. The
// key is nil, which disables such resets, if the private key is not an ECDSA key.
func (c Config) resetKey() *quic.StatelessResetKey {
	if len(c.ServerTLS.Certificates) == 0 {
		return nil
	}
	key, ok := c.ServerTLS.Certificates[0].PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil
	}
	reset := quic.StatelessResetKey(sha256.Sum256(append([]byte("stateless reset\x00"), encoded...)))
	return &reset
}
