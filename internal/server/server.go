// Package server is the front towards callers: it authenticates requests,
// admits them within their team's limits, lets them wait for an upstream and
// relays answers. Every request ends with an answer or a typed refusal.
package server

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"

	"github.com/buckthorngap/buckthorngap/internal/claimer"
	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/internal/limiter"
	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// Config is what a Server needs.
type Config struct {
	// Snapshot is the configuration in force.
	Snapshot func() *configurator.Snapshot
	// Known tells whether Snapshot is the highest configuration to be found;
	// until it is, every request is refused as not run. nil means always.
	Known func() bool
	// Reserve spends tokens of a team in advance.
	Reserve func(ctx context.Context, ask limiter.Request) (*limiter.Reservation, error)
	// Enter waits for a placement, a *router.Choice. Ticket.Value is the router.Need.
	Enter func(ctx context.Context, ticket queuer.Ticket) (any, error)
	// Want tells that a request needs a model; called before Enter.
	Want func(ticket queuer.Ticket)
	// Claim gives the right to run a call once.
	Claim func(ctx context.Context, request claimer.Request) (*claimer.Claim, error)
	// PickService chooses an instance of a plain service.
	PickService func(service, pin string, exclude []string) (*router.Choice, bool)
	// Allows tells whether a team may use what lists the teams that may; nil
	// allows the teams on the list, and every team if the list is empty.
	Allows func(teams []string, team string) bool
	// Face is how callers of routes and the product tell each other of requests.
	Face Face
	// Routed is set if every request goes by route, and no path is the product's own.
	Routed bool
	// Expect has a model loaded that no engine holds, and tells when it is, or
	// with false when to ask again; nil means that none can be.
	Expect func(ctx context.Context, service, checkpoint string) (time.Time, bool)
	// Prepare has what Choice.Missing tells of loaded; nil means that nothing can be.
	Prepare func(ctx context.Context, choice *router.Choice, need router.Need) error
	// Place chooses another upstream for a retry of a routed request.
	Place func(need router.Need) (*router.Choice, bool)
	// Lenient lets requests that run when their key is withdrawn finish.
	Lenient bool
	// Lacks notes that an upstream does not hold a checkpoint or its adapter; nil
	// means that nobody notes it.
	Lacks func(upstream, checkpoint, adapter string, held bool)
	// Return takes a place at an upstream that turned out to lack the adapter of
	// a request; nil means never.
	Return func(upstream string, need router.Need) (*router.Choice, bool)
	// Rest tells whether all upstreams that a routed request could go to are left
	// alone after failures, and until when; nil means never.
	Rest func(need router.Need) (time.Time, bool)
	// State describes the upstreams that a routed request could go to, for its
	// log; nil means that it is not told.
	State func(need router.Need) router.State
	// Ready is the number of engines that hold a checkpoint; nil means not known.
	Ready func(checkpoint string) int
	// Forwarder carries requests to upstreams.
	Forwarder *forwarder.Forwarder
	// Body is the largest request body, in bytes.
	Body int64
	// Bodies is the memory for all request bodies together, in bytes.
	Bodies int64
	// Headers is the largest request header, in bytes.
	Headers int
	// Reading is how long a caller may take to send a request, and to take a part of the answer.
	Reading time.Duration
	// Timeout is the time of a request that names none.
	Timeout time.Duration
	// Overnight is the time of an overnight request that names none.
	Overnight time.Duration
	// Connections is how many connections are served at once.
	Connections int
	// Tokens is the largest answer of a request that does not bound it, in tokens.
	Tokens int64
	// Notice is how long requests are accepted after the server reports unready.
	Notice time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log gets one line for each request; nil means none.
	Log logrus.FieldLogger
}

// idleTimeout ends connections on which no request comes.
const idleTimeout = 2 * time.Minute

// The defaults of Config.
const (
	DefaultBody        = 4 << 20
	DefaultBodies      = 512 << 20
	DefaultHeaders     = 32 << 10
	DefaultReading     = 10 * time.Second
	DefaultTimeout     = 30 * time.Second
	DefaultOvernight   = 8 * time.Hour
	DefaultConnections = 10_000
	DefaultTokens      = 256
)

func (c Config) withDefaults() Config {
	c.Body = cmp.Or(c.Body, DefaultBody)
	c.Bodies = cmp.Or(c.Bodies, DefaultBodies)
	c.Headers = cmp.Or(c.Headers, DefaultHeaders)
	c.Reading = cmp.Or(c.Reading, DefaultReading)
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.Overnight = cmp.Or(c.Overnight, DefaultOvernight)
	c.Connections = cmp.Or(c.Connections, DefaultConnections)
	c.Tokens = cmp.Or(c.Tokens, DefaultTokens)
	c.Face = c.Face.withDefaults()
	if c.Allows == nil {
		c.Allows = allows
	}
	if c.Known == nil {
		c.Known = func() bool { return true }
	}
	if c.Want == nil {
		c.Want = func(queuer.Ticket) {}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Server serves callers.
type Server struct {
	config  Config
	http    *http.Server
	mux     *http.ServeMux
	running *registry
	admit   endpoint.Endpoint
	permit  endpoint.Endpoint
	pass    endpoint.Endpoint
	bodies  atomic.Int64
	unready atomic.Bool
}

// New returns a Server.
func New(config Config) *Server {
	s := &Server{
		config:  config.withDefaults(),
		mux:     http.NewServeMux(),
		running: newRegistry(),
	}
	s.admit = endpoint.Chain(s.authenticate, s.parse, s.resolve, s.reserve)(s.enter)
	s.permit = endpoint.Chain(s.find, s.authenticate, s.claim)(s.pick)
	s.pass = endpoint.Chain(s.direct, s.authenticate, s.take, s.aim, s.spend)(s.enter)
	s.mux.HandleFunc("/v1/chat/completions", s.completions)
	s.mux.HandleFunc("/v1/completions", s.completions)
	s.mux.HandleFunc("/v1/models", s.models)
	s.mux.HandleFunc("/", s.service)
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: s.config.Reading,
		// The server's own bound only stops floods; ServeHTTP refuses with a typed error.
		MaxHeaderBytes: 2 * s.config.Headers,
		IdleTimeout:    idleTimeout,
		ErrorLog:       s.errorLog(),
	}
	return s
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.unready.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.config.Routed {
		s.byRoute(w, r)
		return
	}
	if refused := s.bound(r); refused != nil {
		p := s.begin(w, r)
		defer p.end()
		p.refuse(refused)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// Serve serves a listener until Drain or Close. It returns http.ErrServerClosed
// after them, else the listener's error.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(netutil.LimitListener(listener, s.config.Connections))
}

// Ready tells whether the balancer should send requests.
func (s *Server) Ready() bool { return !s.unready.Load() }

// Unready makes Ready false; requests are still served.
func (s *Server) Unready() { s.unready.Store(true) }

// Drain reports unready, accepts requests for Config.Notice and then waits until
// the context ends for the others to finish; routed requests that still wait for
// an upstream by then are refused. It returns the context's error if some had
// not finished.
func (s *Server) Drain(ctx context.Context) error {
	s.Unready()
	waiter.Pause(ctx, s.config.Notice)
	if s.config.Routed {
		s.dismiss()
	}
	return s.http.Shutdown(ctx)
}

// Close ends all connections at once. It returns the listener's error.
func (s *Server) Close() error { return s.http.Close() }
