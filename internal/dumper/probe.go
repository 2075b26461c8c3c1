package dumper

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
)

// ProbeConfig configures a Probe.
type ProbeConfig struct {
	// Listen is the address and port on which HTTP is served.
	Listen netip.AddrPort
	// Path is the URL path that the load balancer requests.
	Path string
	// Ready reports whether the load balancer may send requests to this process.
	Ready func() bool
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
	p.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      writeTimeout,
	}
	return p
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
	return serve(ctx, p.server, p.config.Listen)
}

// serve runs the server on the address until the context ends, then closes all of its connections at once.
func serve(ctx context.Context, server *http.Server, address netip.AddrPort) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return &ListenFailed{
			Address: address,
			Cause:   err,
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
