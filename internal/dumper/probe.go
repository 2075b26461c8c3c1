package dumper

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/acceptor"
)

const (
	// maxConnections, maxHeader and headMemory bound what the clients of a listener can make it hold: connections, the bytes
	// of a request's header, and the memory of all headers together in bytes.
	maxConnections = 64
	maxHeader      = 8 << 10
	headMemory     = 4 << 20
)

// ProbeConfig configures a Probe.
type ProbeConfig struct {
	// Listen is the address and port on which HTTP is served.
	Listen netip.AddrPort
	// Path is the URL path that the load balancer requests.
	Path string
	// Ready reports whether the load balancer may send requests to this process.
	Ready func() bool
	// Log receives the connections that are refused; nil means the standard logger.
	Log logrus.FieldLogger
}

// Probe serves the load balancer's readiness probe on an address of its own.
type Probe struct {
	config ProbeConfig
	server *http.Server
}

// NewProbe returns a Probe that does not listen yet.
func NewProbe(config ProbeConfig) *Probe {
	p := &Probe{
		config: config,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+config.Path, p.serveReady)
	p.server = newServer(mux)
	return p
}

// newServer returns an HTTP server with bounds for its clients.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnState:         acceptor.ObserveState,
	}
}

// serveReady responds 200 without a body if the process is ready for requests, else 503.
func (p *Probe) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.config.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Run serves until the context ends. It returns *ListenFailed if it cannot listen on the address, else the listener's
// error.
func (p *Probe) Run(ctx context.Context) error {
	return serve(ctx, p.server, p.config.Listen, p.config.Log)
}

// serve runs the server on the address until the context ends, then closes all of its connections at once.
func serve(ctx context.Context, server *http.Server, address netip.AddrPort, log logrus.FieldLogger) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return &ListenFailed{
			Address: address,
			Cause:   err,
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	bounded := acceptor.New(listener, acceptor.Config{
		MaxConnections: maxConnections,
		HeadMemory:     headMemory,
		Log:            log,
	})
	if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
