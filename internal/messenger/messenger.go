package messenger

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"github.com/buckthorngap/buckthorngap/internal/certifier"
)

// Messenger sends and answers messages over one UDP socket. It reuses one connection to each
// peer, whichever side opened it, with one stream for each message.
type Messenger struct {
	config    Config
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	handlers  map[string]Handler
	// slots is a semaphore for the messages that are being handled.
	slots chan struct{}
	// buffer bounds the memory for large incoming messages.
	buffer *semaphore.Weighted
	// incarnations holds the newest known incarnation of each sender.
	incarnations *incarnations
	counters     counters
	// done ends when the messenger is closed.
	done   context.Context
	cancel context.CancelFunc

	lock sync.Mutex
	// links holds the connections used for sending, by the peer's name.
	links map[string]*link
	// open is the set of all connections, including those on which only the peer sends.
	open map[*link]struct{}
	// dials holds the connections that are being opened, by the peer's name.
	dials map[string]*dial
	// accepted is the number of open connections that peers opened.
	accepted int
}

// New opens the socket. Calls may be sent at once; messages are answered only while Run runs.
// It returns *Setup if the address cannot be used.
func New(config Config) (*Messenger, error) {
	config = config.withDefaults()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Listen))
	if err != nil {
		return nil, &Setup{
			Cause: err,
		}
	}
	transport := &quic.Transport{
		Conn:              socket,
		StatelessResetKey: config.resetKey(),
	}
	listener, err := transport.Listen(config.serverTLS(), config.quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, &Setup{
			Cause: err,
		}
	}
	done, cancel := context.WithCancel(context.Background())
	return &Messenger{
		config:       config,
		socket:       socket,
		transport:    transport,
		listener:     listener,
		handlers:     map[string]Handler{},
		slots:        make(chan struct{}, config.MaxHandlers),
		buffer:       semaphore.NewWeighted(config.BufferBytes),
		incarnations: newIncarnations(),
		done:         done,
		cancel:       cancel,
		links:        map[string]*link{},
		open:         map[*link]struct{}{},
		dials:        map[string]*dial{},
	}, nil
}

// Address returns the address that the messenger listens on.
func (m *Messenger) Address() netip.AddrPort {
	address := m.socket.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// Handle registers the handler of a topic. It must be called before Run.
func (m *Messenger) Handle(topic string, handler Handler) {
	m.handlers[topic] = handler
}

// Run answers messages until the context ends, then closes all connections and returns nil. If
// the socket fails earlier, it returns the socket's error.
func (m *Messenger) Run(ctx context.Context) error {
	defer m.close()
	for {
		connection, err := m.listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return &Setup{
				Cause: err,
			}
		}
		m.accept(connection)
	}
}

// close closes all connections and the socket.
func (m *Messenger) close() {
	m.cancel()
	for _, l := range m.openLinks() {
		l.close("stopping")
	}
	_ = m.listener.Close()
	_ = m.transport.Close()
	_ = m.socket.Close()
}

// accept accepts a connection that a peer opened. It refuses the connection if the peer's certificate is
// not that of an instance, or if too many connections are open.
func (m *Messenger) accept(connection *quic.Conn) {
	subject, err := certifier.PeerSubject(connection.ConnectionState().TLS)
	if err != nil || subject.Unit != certifier.UnitInstance {
		m.refuse(connection, CodeIdentity)
		return
	}
	m.lock.Lock()
	full := m.accepted >= m.config.MaxConnections
	if !full {
		m.accepted++
	}
	m.lock.Unlock()
	if full {
		m.refuse(connection, CodeBusy)
		return
	}
	m.counters.accepted.Add(1)
	m.addLink(connection, subject, true)
}

// refuse closes a connection with the code of the reason.
func (m *Messenger) refuse(connection *quic.Conn, code Code) {
	m.counters.countRefused(code)
	m.config.Log.WithFields(logrus.Fields{
		"remote": connection.RemoteAddr(),
		"code":   code,
	}).Warn("connection.refused")
	_ = connection.CloseWithError(closeRefused, string(code))
}

// openLinks returns the open connections.
func (m *Messenger) openLinks() []*link {
	m.lock.Lock()
	defer m.lock.Unlock()
	links := make([]*link, 0, len(m.open))
	for l := range m.open {
		links = append(links, l)
	}
	return links
}

// addLink uses the connection for sending to its peer from now on. If both sides have dialed at the same
// time, both select the connection of the side whose name sorts first; the other connection is closed
// once it is idle.
func (m *Messenger) addLink(connection *quic.Conn, subject certifier.Subject, accepted bool) *link {
	l := &link{
		messenger:  m,
		connection: connection,
		subject:    subject,
		accepted:   accepted,
		openedAt:   m.config.Now(),
	}
	m.lock.Lock()
	m.open[l] = struct{}{}
	previous := m.links[subject.Name]
	if previous == nil || !previous.simultaneousWith(l) || l.preferred() {
		m.links[subject.Name] = l
	}
	m.lock.Unlock()
	go l.loop(m.done)
	return l
}

// removeLink drops a connection that has ended.
func (m *Messenger) removeLink(l *link) {
	m.lock.Lock()
	defer m.lock.Unlock()
	delete(m.open, l)
	if m.links[l.subject.Name] == l {
		delete(m.links, l.subject.Name)
	}
	if l.accepted {
		m.accepted--
	}
}
