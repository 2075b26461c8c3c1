package dumper

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
)

// ProbeConfig is what a Probe needs.
type ProbeConfig struct {
	// Listen is the address and port for HTTP.
	Listen netip.AddrPort
	// Path is what the balancer asks for.
	Path string
	// Ready tells whether the balancer may send requests here.
	Ready func() bool
}

// Probe answers the balancer on an address of its own.
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
	mux.HandleFunc("GET "+config.Path, p.serve)
	p.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readTimeout,
		WriteTimeout:      writeTimeout,
	}
	return p
}

func (p *Probe) serve(w http.ResponseWriter, _ *http.Request) {
	if !p.config.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Run serves until the context ends. It returns *ListenFailed if the address
// cannot be used, else the listener's error.
func (p *Probe) Run(ctx context.Context) error {
	return serve(ctx, p.server, p.config.Listen)
}

// serve serves an address until the context ends.
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
