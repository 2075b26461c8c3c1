package server_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/binder"
	"github.com/buckthorngap/buckthorngap/internal/claimer"
	"github.com/buckthorngap/buckthorngap/internal/emulator/platformer"
	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
	"github.com/buckthorngap/buckthorngap/internal/emulator/servicer"
	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/internal/limiter"
	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/internal/server"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	secret     = "sk-crates-0123456789"
	otherTeam  = "sk-boots-0123456789"
	checkpoint = "ledger-1"
)

// site is one entry instance with stand-ins behind it.
type site struct {
	t         testing.TB
	engines   []*runner.Runner
	services  []*servicer.Servicer
	router    *router.Router
	forwarder *forwarder.Forwarder
	server    *server.Server
	http      *entrance
	snapshot  atomic.Pointer[configurator.Snapshot]
	changed   chan struct{}

	mu     sync.Mutex
	listed []storer.Instance
	log    bytes.Buffer
}

// entrance is where callers reach the instance.
type entrance struct {
	URL      string
	Listener net.Listener
}

type siteConfig struct {
	engines  int
	engine   runner.Config
	services int
	service  servicer.Config
	forward  forwarder.Config
	server   server.Config
	stay     bool
	front    func(http.Handler) http.Handler
}

// newSite starts a site whose engines have the checkpoint loaded.
func newSite(t testing.TB, config siteConfig) *site {
	t.Helper()
	s := &site{
		t:       t,
		changed: make(chan struct{}, 1),
	}
	s.snapshot.Store(configuration(t))
	for i := range max(config.engines, 1) {
		config.engine.Name = "engine" + string(rune('a'+i))
		engine := runner.New(config.engine)
		load(t, engine)
		s.engines = append(s.engines, engine)
		s.list(engine, config.engine.Name, storer.RoleEngine, config.front)
	}
	for i := range config.services {
		config.service.Name = "depot" + string(rune('a'+i))
		service := servicer.New(config.service)
		s.services = append(s.services, service)
		s.list(service, config.service.Name, storer.RoleService, config.front)
	}
	s.wire(config)
	return s
}

func (s *site) list(handler http.Handler, name string, role storer.Role, front func(http.Handler) http.Handler) {
	if front != nil {
		handler = front(handler)
	}
	upstream := httptest.NewServer(handler)
	s.t.Cleanup(upstream.Close)
	row := storer.Instance{
		Name:    name,
		Domain:  "central",
		Role:    role,
		Address: netip.MustParseAddrPort(upstream.Listener.Addr().String()),
	}
	if role == storer.RoleService {
		row.Service = "depot"
	}
	s.listed = append(s.listed, row)
}

func (s *site) instances() []storer.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]storer.Instance(nil), s.listed...)
}

func (s *site) report(name string) (reporter.Report, time.Time, bool) {
	for i, engine := range s.engines {
		if s.listed[i].Name == name {
			return engine.Report(), time.Now(), true
		}
	}
	return reporter.Report{}, time.Time{}, false
}

func (s *site) wire(config siteConfig) {
	s.router = router.New(router.Config{
		Domain:        "central",
		Upstreams:     s.instances,
		Report:        s.report,
		Changed:       s.wake,
		Retries:       1,
		IgnoreLeaving: config.stay,
	})
	s.router.Refresh()
	config.forward.Pick = s.router.Pick
	config.forward.PickService = s.router.PickService
	config.forward.Retry = s.router.Retry
	s.forwarder = forwarder.New(config.forward)
	platform := httptest.NewServer(platformer.New(platformer.Config{}))
	s.t.Cleanup(platform.Close)
	claims := claimer.New(claimer.Config{
		Store: binder.New(binder.Config{
			URL: platform.URL,
		}),
	})
	log := logrus.New()
	log.SetOutput(&lockedBuffer{
		site: s,
	})
	config.server.Snapshot = s.snapshot.Load
	config.server.Reserve = s.reserve
	config.server.Enter = s.enter
	config.server.Claim = claims.Claim
	config.server.PickService = s.router.PickService
	config.server.Forwarder = s.forwarder
	config.server.Log = log
	s.server = server.New(config.server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.http = &entrance{
		URL:      "http://" + listener.Addr().String(),
		Listener: listener,
	}
	s.t.Cleanup(func() { s.server.Close() })
	go s.server.Serve(listener)
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	go s.forwarder.Run(ctx)
	go claims.Run(ctx)
}

// reserve lets every request within its team's limits.
func (s *site) reserve(_ context.Context, ask limiter.Request) (*limiter.Reservation, error) {
	if ask.Team == "" || ask.Tokens <= 0 {
		s.t.Error("a reservation without team or tokens")
	}
	return &limiter.Reservation{}, nil
}

type lockedBuffer struct {
	site *site
}

func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.site.mu.Lock()
	defer b.site.mu.Unlock()
	return b.site.log.Write(line)
}

func (s *site) logged() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.String()
}

func (s *site) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// enter waits until the router has a place.
func (s *site) enter(ctx context.Context, ticket queuer.Ticket) (any, error) {
	for {
		if choice, ok := s.router.Pick(ticket.Value.(router.Need)); ok {
			return choice, nil
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
			return nil, &refuser.Refusal{
				Code:    refuser.CodeBusy,
				Outcome: refuser.NotRun,
				Detail:  "no upstream has room",
			}
		}
	}
}

func load(t testing.TB, engine *runner.Runner) {
	t.Helper()
	order := httptest.NewRequest(http.MethodPost, "/v1/models/load", strings.NewReader(`{"checkpoint":"`+checkpoint+`","bytes":1}`))
	engine.ServeHTTP(httptest.NewRecorder(), order)
	for {
		if copies := engine.Report().Copies; len(copies) == 1 && copies[0].State == reporter.CopyReady {
			break
		}
	}
	order = httptest.NewRequest(http.MethodPost, "/v1/adapters/load", strings.NewReader(`{"adapter":"nairobi","checkpoint":"`+checkpoint+`","bytes":1}`))
	engine.ServeHTTP(httptest.NewRecorder(), order)
}

func hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func configuration(t testing.TB) *configurator.Snapshot {
	t.Helper()
	var operations []configurator.Operation
	put := func(o configurator.Operation) {
		o.Action = configurator.ActionPut
		operations = append(operations, o)
	}
	for team, key := range map[string]string{"crates": secret, "boots": otherTeam} {
		put(configurator.Operation{
			Team: &configurator.Team{
				Name:  team,
				Rate:  1e9,
				Burst: 1e9,
			},
		})
		put(configurator.Operation{
			Key: &configurator.Key{
				Name: team + "-key",
				Team: team,
				Hash: hash(key),
			},
		})
	}
	put(configurator.Operation{
		Model: &configurator.Model{
			Name:     "ledger",
			Teams:    []string{"crates"},
			Replicas: 2,
		},
	})
	put(configurator.Operation{
		Version: &configurator.Version{
			Model:      "ledger",
			Name:       "1",
			Checkpoint: checkpoint,
			Bytes:      1,
		},
	})
	put(configurator.Operation{
		Model: &configurator.Model{
			Name:     "ledger",
			Teams:    []string{"crates"},
			Version:  "1",
			Replicas: 2,
		},
	})
	put(configurator.Operation{
		Adapter: &configurator.Adapter{
			Name:  "nairobi",
			Model: "ledger",
			Bytes: 1,
		},
	})
	put(configurator.Operation{
		Service: &configurator.Service{
			Name: "depot",
			Path: "/crates/",
			Once: []string{http.MethodPost},
		},
	})
	put(configurator.Operation{
		Service: &configurator.Service{
			Name: "depot-open",
			Path: "/open/",
			Open: true,
		},
	})
	snapshot, err := configurator.Empty().Apply(configurator.Change{
		ID:         "1",
		Operator:   "test",
		Operations: operations,
	})
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// withdraw withdraws a thing and expels what runs.
func (s *site) withdraw(subject configurator.Subject, name string) {
	added, err := configurator.NewWithdrawals().Add(configurator.Withdrawal{
		Subject:  subject,
		Name:     name,
		At:       time.Unix(1, 0),
		Operator: "test",
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.snapshot.Store(s.snapshot.Load().With(added))
	s.server.Expel()
}

// send sends a request with the secret of the team crates.
func (s *site) send(method, path, body string, header ...string) *http.Response {
	s.t.Helper()
	request, err := http.NewRequest(method, s.http.URL+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { answer.Body.Close() })
	return answer
}
