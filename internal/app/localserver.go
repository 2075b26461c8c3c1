package app

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// localServer serves HTTP for one stand-in.
type localServer struct {
	server   *http.Server
	listener net.Listener
}

// serveLocal serves a handler on a free loopback port until the context ends, and returns the address.
func serveLocal(ctx context.Context, handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	local := &localServer{
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: time.Minute,
		},
		listener: listener,
	}
	go local.run(ctx)
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

func (s *localServer) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	_ = s.server.Serve(s.listener)
}
