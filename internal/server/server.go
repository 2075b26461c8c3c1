// Package server is the HTTP front end for callers: it authenticates requests, admits them within their team's limits,
// queues them until an upstream has room and relays the responses. Every request ends with a response or a typed
// refusal.
package server

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/acceptor"
	"github.com/buckthorngap/buckthorngap/internal/claimer"
	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/internal/limiter"
	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// Config configures a Server.
type Config struct {
	// Snapshot returns the configuration in force.
	Snapshot func() *configurator.Snapshot
	// ConfigReady reports whether Snapshot returns the newest configuration that could be found; until it does, every
	// request is refused as not run. nil means always.
	ConfigReady func() bool
	// Reserve takes tokens from a team's limit before the request runs.
	Reserve func(ctx context.Context, request limiter.Request) (*limiter.Reservation, error)
	// Enter waits in the queue for a placement, a *router.Choice. Ticket.Value is the router.Need.
	Enter func(ctx context.Context, ticket queuer.Ticket) (any, error)
	// AddDemand records the demand of a request for its model; called before Enter. nil means that demand is not
	// recorded.
	AddDemand func(ticket queuer.Ticket)
	// Claim claims the right to run a call that must run at most once.
	Claim func(ctx context.Context, request claimer.Request) (*claimer.Claim, error)
	// AwaitService chooses an instance of a plain service; it may wait for some milliseconds.
	AwaitService func(ctx context.Context, service string) (*router.Choice, bool)
	// Limited reports whether all upstreams that could run a request have stated limits; nil means that there are none.
	Limited func(need router.Need) bool
	// LimitEnd reports whether all upstreams that could run a request have used up the limits that they state, and
	// returns when a request could be sent with a number of requests ahead of it. nil means that there are no limits.
	LimitEnd func(need router.Need, ahead int) (time.Time, bool)
	// RetryTime returns when a caller should come back whose request is refused because of limits: not before the
	// given time.
	RetryTime func(need router.Need, earliest time.Time) time.Time
	// Waiting returns the number of requests in the queue of a model, and the sum of their tokens.
	Waiting func(model string) (requests int, tokens int64)
	// Allows reports whether team may use a model, adapter or service whose allowed teams are teams; nil allows the
	// teams on the list, and every team if the list is empty.
	Allows func(teams []string, team string) bool
	// HeaderFormat defines the header fields of routed requests and their responses.
	HeaderFormat HeaderFormat
	// Routed is set if every request is forwarded by route and the server has no paths of its own.
	Routed bool
	// StartLoad starts loading a model that no engine holds in the failure domains that a request may go to. It returns when the model will be ready, or false and when
	// to try again; nil means that no model can be loaded.
	StartLoad func(ctx context.Context, need router.Need) (time.Time, bool)
	// LoadAdapter loads the adapter that Choice.AdapterMissing reports as missing; nil means that nothing can be loaded.
	LoadAdapter func(ctx context.Context, choice *router.Choice, need router.Need) error
	// Place chooses another upstream for a routed request, without waiting in the queue.
	Place func(need router.Need) (*router.Choice, bool)
	// FinishWithdrawn lets running requests finish when what they were admitted for is withdrawn.
	FinishWithdrawn bool
	// SetLoaded records whether an upstream holds a checkpoint and its adapter; nil means that it is not recorded.
	SetLoaded func(upstream, checkpoint, adapter string, loaded bool)
	// Reacquire reserves a slot again at an upstream that refused a request because it lacks the adapter; nil means
	// never.
	Reacquire func(upstream string, need router.Need) (*router.Choice, bool)
	// CooldownEnd reports whether all upstreams that a routed request could go to are cooling down after failures, and
	// until when; nil means never.
	CooldownEnd func(need router.Need) (time.Time, bool)
	// CountCandidates counts the upstreams that a routed request could go to, for the log; nil means that the counts are
	// not logged.
	CountCandidates func(need router.Need) router.CandidateCounts
	// Stranded reports whether all upstreams that a routed request could go to are in evacuated failure domains, some of them in
	// the given one; an empty domain means any. nil means never.
	Stranded func(need router.Need, domain string) bool
	// CountReady returns the number of engines that hold the checkpoint of a request, or of upstreams that run its service, in
	// the failure domains that it may go to; nil means not known.
	CountReady func(need router.Need) int
	// DomainsOf returns the failure domains of regions; nil means that regions are ignored.
	DomainsOf func(regions []string) []string
	// Quarantine has the functions for prompts that crash engines.
	Quarantine Quarantine
	// Streams keep streams at the software version that began them; unset if every version may go on with them.
	Streams Streams
	// Forwarder sends requests to upstreams.
	Forwarder *forwarder.Forwarder
	// MaxBodyBytes is the size of the largest request body, in bytes.
	MaxBodyBytes int64
	// BodyMemoryBytes limits the memory of all request bodies together, in bytes.
	BodyMemoryBytes int64
	// MaxHeaderBytes is the size of the largest request header, in bytes.
	MaxHeaderBytes int
	// HeadMemoryBytes limits the memory of all large request headers together, in bytes.
	HeadMemoryBytes int64
	// ReadTimeout is how long a caller may take to send a request, and to read each part of the response.
	ReadTimeout time.Duration
	// InteractiveTimeout is the time until the deadline of an interactive request that gives none.
	InteractiveTimeout time.Duration
	// OvernightTimeout is the time until the deadline of an overnight request that gives none.
	OvernightTimeout time.Duration
	// MaxConnections is the largest number of connections served at once.
	MaxConnections int
	// AnswerTokens is the largest answer of a request that does not limit it, in tokens.
	AnswerTokens int64
	// DrainNotice is how long requests are still accepted after the server reports unready, until the load balancer
	// has noticed.
	DrainNotice time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Log receives one line for each request, and the events of routed requests; nil means no log.
	Log logrus.FieldLogger
}

// idleTimeout is when a connection without requests is closed.
const idleTimeout = 2 * time.Minute

// The defaults of the Config fields of the same names.
const (
	DefaultMaxBodyBytes       = 4 << 20
	DefaultBodyMemoryBytes    = 512 << 20
	DefaultMaxHeaderBytes     = 32 << 10
	DefaultReadTimeout        = 10 * time.Second
	DefaultInteractiveTimeout = 30 * time.Second
	DefaultOvernightTimeout   = 8 * time.Hour
	DefaultMaxConnections     = 10_000
	DefaultAnswerTokens       = 256
)

func (c Config) withDefaults() Config {
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, DefaultMaxBodyBytes)
	c.BodyMemoryBytes = cmp.Or(c.BodyMemoryBytes, DefaultBodyMemoryBytes)
	c.MaxHeaderBytes = cmp.Or(c.MaxHeaderBytes, DefaultMaxHeaderBytes)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, DefaultReadTimeout)
	c.InteractiveTimeout = cmp.Or(c.InteractiveTimeout, DefaultInteractiveTimeout)
	c.OvernightTimeout = cmp.Or(c.OvernightTimeout, DefaultOvernightTimeout)
	c.MaxConnections = cmp.Or(c.MaxConnections, DefaultMaxConnections)
	c.AnswerTokens = cmp.Or(c.AnswerTokens, DefaultAnswerTokens)
	c.HeaderFormat = c.HeaderFormat.withDefaults()
	if c.Allows == nil {
		c.Allows = teamAllowed
	}
	if c.ConfigReady == nil {
		c.ConfigReady = func() bool { return true }
	}
	if c.AddDemand == nil {
		c.AddDemand = func(queuer.Ticket) {}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Server handles the requests of callers. Its three endpoint chains admit completion requests, calls to plain services
// (upstreams that run no model) and routed requests (forwarded by a route of the configuration).
type Server struct {
	config          Config
	http            *http.Server
	mux             *http.ServeMux
	active          *registry
	admitCompletion endpoint.Endpoint
	admitCall       endpoint.Endpoint
	admitRouted     endpoint.Endpoint
	bodyMemory      atomic.Int64
	unready         atomic.Bool
	// stopping is set once the server drains and accepts no further requests.
	stopping atomic.Bool
	// accepting ends with stopAccepting, once no further connections are accepted.
	accepting     context.Context
	stopAccepting context.CancelFunc
}

// New returns a Server.
func New(config Config) *Server {
	s := &Server{
		config: config.withDefaults(),
		mux:    http.NewServeMux(),
		active: newRegistry(),
	}
	s.accepting, s.stopAccepting = context.WithCancel(context.Background())
	s.admitCompletion = endpoint.Chain(s.authenticate, s.parse, s.resolve, s.reserve)(s.enqueue)
	s.admitCall = endpoint.Chain(s.findService, s.authenticate, s.claimCall)(s.pickInstance)
	s.admitRouted = endpoint.Chain(s.matchRoute, s.authenticate, s.receiveBody, s.resolveRouted, s.reserveRouted)(s.enqueue)
	s.mux.HandleFunc("/v1/chat/completions", s.serveCompletions)
	s.mux.HandleFunc("/v1/completions", s.serveCompletions)
	s.mux.HandleFunc("/v1/models", s.serveModels)
	s.mux.HandleFunc("/", s.serveService)
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: s.config.ReadTimeout,
		// The limit of net/http only protects against floods. Unless Config.Routed is set, ServeHTTP refuses headers over
		// Config.MaxHeaderBytes with a typed refusal.
		MaxHeaderBytes: 2 * s.config.MaxHeaderBytes,
		IdleTimeout:    idleTimeout,
		ConnState:      acceptor.ObserveState,
		// net/http would answer "OPTIONS *" itself, with a success that no upstream gave.
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     s.errorLog(),
	}
	return s
}

// ServeHTTP handles one request. While the server is unready, it asks callers to close their connections.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.unready.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.config.Routed {
		s.serveRouted(w, r)
		return
	}
	if refusal := s.validate(r); refusal != nil {
		e := s.begin(w, r)
		defer e.end()
		e.refuse(refusal)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// Serve serves a listener until Drain or Close. It returns http.ErrServerClosed after them, else the listener's error.
func (s *Server) Serve(listener net.Listener) error {
	accepting := acceptor.New(listener, acceptor.Config{
		MaxConnections: s.config.MaxConnections,
		HeadMemory:     s.config.HeadMemoryBytes,
		Log:            s.config.Log,
	})
	stop := context.AfterFunc(s.accepting, func() { _ = accepting.Close() })
	defer stop()
	err := s.http.Serve(accepting)
	if s.accepting.Err() != nil && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// Ready reports whether the load balancer should send requests.
func (s *Server) Ready() bool { return !s.unready.Load() }

// Unready makes Ready return false; requests are still served.
func (s *Server) Unready() { s.unready.Store(true) }

// Drain shuts the server down gracefully: it reports unready, accepts requests for Config.DrainNotice more and then
// waits for the running requests to finish until the context ends. If Config.Routed is set, requests that no upstream has
// after DrainNotice are refused, also those that one refuses later. Requests that have not finished by the end of the context are
// aborted with a refusal, and Drain then returns the context's error.
func (s *Server) Drain(ctx context.Context) error {
	s.Unready()
	waiter.Pause(ctx, s.config.DrainNotice)
	s.stopping.Store(true)
	if s.refusesWaiting() {
		s.refuseWaiting()
	}
	s.stopAccepting()
	// Closes idle connections, and each other one with its next answer. http.Server.Shutdown would also close those whose first request
	// is being read, without an answer.
	s.http.SetKeepAlivesEnabled(false)
	finished := waiter.Poll(ctx, drainPoll, func() bool { return s.active.empty() })
	if !finished {
		s.abortRemaining()
	}
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTime)
	defer cancel()
	err := s.http.Shutdown(closing)
	if finished {
		return nil
	}
	return cmp.Or(ctx.Err(), err)
}

const (
	// drainPoll is the time between two checks whether all requests have ended.
	drainPoll = 50 * time.Millisecond
	// answerTime is how long the last answers may take to be written.
	answerTime = 200 * time.Millisecond
)

// Close closes the listener and all connections at once. It returns the listener's error.
func (s *Server) Close() error { return s.http.Close() }
