package acceptor

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// minIdle is how long a connection without a request under way is kept when all places are taken: a client that has just
	// connected has had no time to send.
	minIdle = time.Second
	// fullPause is the time between two attempts to find a place.
	fullPause = 50 * time.Millisecond
	// logInterval is the least time between two log lines.
	logInterval = time.Second
)

// The reasons for which connections are closed.
const (
	reasonMemory = "memory"
	reasonPlaces = "places"
)

// Acceptor is a listener that bounds what its connections take. When all places are taken, it closes the connection that has
// had no request under way for the longest time.
type Acceptor struct {
	net.Listener

	config  Config
	refused map[string]*metrics.Counter
	closing chan struct{}
	once    sync.Once

	mu          sync.Mutex
	connections map[*connection]bool
	// memory is the memory of large heads, in bytes.
	memory int64
	// unlogged counts what was refused since the last log line.
	unlogged map[string]int
	loggedAt time.Time
}

// New returns an Acceptor of a listener's connections. The server must call ObserveState as its http.Server.ConnState.
func New(listener net.Listener, config Config) *Acceptor {
	return &Acceptor{
		Listener: listener,
		config:   config.withDefaults(),
		refused: map[string]*metrics.Counter{
			reasonMemory: metrics.GetOrCreateCounter(`buckthorngap_connections_refused_total{reason="memory"}`),
			reasonPlaces: metrics.GetOrCreateCounter(`buckthorngap_connections_refused_total{reason="places"}`),
		},
		closing:     make(chan struct{}),
		connections: map[*connection]bool{},
		unlogged:    map[string]int{},
	}
}

// Accept returns the next connection once there is a place for it.
func (a *Acceptor) Accept() (net.Conn, error) {
	plain, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{
		Conn:     plain,
		acceptor: a,
		inHead:   true,
		since:    a.config.Now(),
		head:     newHead(0, 0),
	}
	for !a.add(c) {
		if a.closeIdlest() {
			continue
		}
		select {
		case <-a.closing:
			_ = plain.Close()
			return nil, net.ErrClosed
		case <-time.After(fullPause):
		}
	}
	return c, nil
}

// Close closes the listener.
func (a *Acceptor) Close() error {
	a.once.Do(func() { close(a.closing) })
	return a.Listener.Close()
}

// ObserveState learns from the server when the request of a connection has ended.
func ObserveState(c net.Conn, state http.ConnState) {
	if own, ok := c.(*connection); ok && state == http.StateIdle && !own.await() {
		_ = own.Close()
	}
}

// add takes a place for a connection, and returns false if there is none.
func (a *Acceptor) add(c *connection) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.connections) >= a.config.MaxConnections {
		return false
	}
	a.connections[c] = true
	return true
}

// remove gives back the place of a connection.
func (a *Acceptor) remove(c *connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.connections, c)
}

// closeIdlest closes the connection that has had no request under way for the longest time, and returns false if there is none.
func (a *Acceptor) closeIdlest() bool {
	a.mu.Lock()
	open := slices.Collect(maps.Keys(a.connections))
	a.mu.Unlock()
	var idlest *connection
	oldest := a.config.Now().Add(-minIdle)
	for _, c := range open {
		if since, idle := c.idleSince(); idle && since.Before(oldest) {
			idlest, oldest = c, since
		}
	}
	if idlest == nil {
		return false
	}
	a.report(reasonPlaces)
	_ = idlest.Close()
	return true
}

// charge takes memory for a head, or gives it back if the amount is negative. It returns false if there is not enough.
func (a *Acceptor) charge(amount int64) bool {
	a.mu.Lock()
	enough := amount <= 0 || a.memory+amount <= a.config.HeadMemory
	if enough {
		a.memory += amount
	}
	a.mu.Unlock()
	if !enough {
		a.report(reasonMemory)
	}
	return enough
}

// report counts a connection that is closed, and logs the counts once in a while.
func (a *Acceptor) report(reason string) {
	a.refused[reason].Inc()
	now := a.config.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unlogged[reason]++
	if now.Sub(a.loggedAt) < logInterval {
		return
	}
	a.config.Log.WithFields(logrus.Fields{
		"listen": a.Addr(),
		"memory": a.unlogged[reasonMemory],
		"places": a.unlogged[reasonPlaces],
		"open":   len(a.connections),
	}).Warn("connections.refused")
	a.loggedAt = now
	clear(a.unlogged)
}
