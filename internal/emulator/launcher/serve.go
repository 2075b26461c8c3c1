package launcher

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// headerTimeout is the maximum time for reading a request's header.
const headerTimeout = 10 * time.Second

// serverCloser closes an HTTP server when a context ends.
type serverCloser struct {
	name   string
	server *http.Server
}

// serve listens on the address, prints it, and serves the handler until the context ends.
func (l *Launcher) serve(ctx context.Context, name, address string, handler http.Handler) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(l.invocation.Output, "standin=%s address=%s\n", name, socket.Addr())
	closer := &serverCloser{
		name: name,
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
		},
	}
	go closer.run(ctx)
	if err := closer.server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// run closes the server when the context ends.
func (c *serverCloser) run(ctx context.Context) {
	<-ctx.Done()
	_ = c.server.Close()
}
