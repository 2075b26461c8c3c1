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

	// The transport's parameters: sizes and windows in bytes.
	protocolName       = "buckthorngap/1"
	envelopeBytes      = MaxBytes + 4<<10
	smallBytes         = 64 << 10
	streamWindow       = 64 << 10
	streamWindowMax    = 512 << 10
	connectionWindow   = 128 << 10
	connectionMax      = 1 << 20
	streams            = 64
	handshakeTimeout   = 2 * time.Second
	defaultTimeout     = 10 * time.Second
	defaultIdle        = 30 * time.Second
	defaultHandlers    = 256
	defaultConnections = 1024
	defaultBuffer      = 32 << 20
)

// Config configures a Messenger.
type Config struct {
	// Self is the sender of every message.
	Self Sender
	// Listen is the UDP address and port; port 0 selects a free one.
	Listen netip.AddrPort
	// ServerTLS configures accepted connections. It must require and verify client
	// certificates.
	ServerTLS *tls.Config
	// ClientTLS configures dialed connections. It must verify the server's chain; the server's
	// name is checked for each peer.
	ClientTLS *tls.Config
	// Timeout bounds calls without a deadline and slow senders; zero means 10 s.
	Timeout time.Duration
	// Idle is the time without packets after which a connection is closed; zero means 30 s.
	Idle time.Duration
	// Handlers is the maximum number of messages that are handled concurrently; zero means 256.
	Handlers int
	// Connections is the maximum number of accepted connections that are kept open; zero means 1024.
	Connections int
	// Buffer is the memory for incoming messages above 64 KB, in bytes; zero means 32 MB.
	Buffer int64
	// Log receives one line for each event; nil means the standard logger.
	Log logrus.FieldLogger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// withDefaults returns the configuration with its defaults filled in.
func (c Config) withDefaults() Config {
	c.Timeout = cmp.Or(c.Timeout, defaultTimeout)
	c.Idle = cmp.Or(c.Idle, defaultIdle)
	c.Handlers = cmp.Or(c.Handlers, defaultHandlers)
	c.Connections = cmp.Or(c.Connections, defaultConnections)
	c.Buffer = cmp.Or(c.Buffer, defaultBuffer)
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// transport returns the QUIC settings of every connection. Receive windows start small, since
// most messages fit one packet.
func (c Config) transport() *quic.Config {
	return &quic.Config{
		Versions:                       []quic.Version{quic.Version1},
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 c.Idle,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindowMax,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     connectionMax,
		MaxIncomingStreams:             streams,
		MaxIncomingUniStreams:          -1,
		DisablePathMTUDiscovery:        true,
	}
}

// server returns the TLS configuration of accepted connections.
func (c Config) server() *tls.Config {
	server := c.ServerTLS.Clone()
	server.NextProtos = []string{protocolName}
	return server
}

// resetKey derives the stateless reset key from the instance's private key. A restarted
// instance has the same key, so that its peers learn at once that the connections of its
// previous start are gone.
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
