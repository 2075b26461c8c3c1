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

// fixture is a server with emulated engines, services and platform store behind it.
type fixture struct {
	t         testing.TB
	engines   []*runner.Runner
	services  []*servicer.Servicer
	router    *router.Router
	forwarder *forwarder.Forwarder
	server    *server.Server
	address   *serverAddress
	snapshot  atomic.Pointer[configurator.Snapshot]
	changed   chan struct{}

	mu        sync.Mutex
	upstreams []storer.Instance
	log       bytes.Buffer
}

// serverAddress is where callers reach the server.
type serverAddress struct {
	URL      string
	Listener net.Listener
}

// fixtureConfig configures a fixture. wrap, if set, wraps the handler of every upstream; ignoreLeaving makes the router
// keep using upstreams that are leaving.
type fixtureConfig struct {
	engines       int
	engine        runner.Config
	services      int
	service       servicer.Config
	forward       forwarder.Config
	server        server.Config
	ignoreLeaving bool
	wrap          func(http.Handler) http.Handler
}

// newFixture starts a fixture whose engines have the checkpoint and its adapter loaded.
func newFixture(t testing.TB, config fixtureConfig) *fixture {
	t.Helper()
	f := &fixture{
		t:       t,
		changed: make(chan struct{}, 1),
	}
	f.snapshot.Store(configuration(t))
	for i := range max(config.engines, 1) {
		config.engine.Name = "engine" + string(rune('a'+i))
		engine := runner.New(config.engine)
		loadModel(t, engine)
		f.engines = append(f.engines, engine)
		f.addUpstream(engine, config.engine.Name, storer.RoleEngine, config.wrap)
	}
	for i := range config.services {
		config.service.Name = "depot" + string(rune('a'+i))
		service := servicer.New(config.service)
		f.services = append(f.services, service)
		f.addUpstream(service, config.service.Name, storer.RoleService, config.wrap)
	}
	f.start(config)
	return f
}

// addUpstream starts an HTTP server for an upstream and lists it for the router.
func (f *fixture) addUpstream(handler http.Handler, name string, role storer.Role, wrap func(http.Handler) http.Handler) {
	if wrap != nil {
		handler = wrap(handler)
	}
	upstream := httptest.NewServer(handler)
	f.t.Cleanup(upstream.Close)
	instance := storer.Instance{
		Name:    name,
		Domain:  "central",
		Role:    role,
		Address: netip.MustParseAddrPort(upstream.Listener.Addr().String()),
	}
	if role == storer.RoleService {
		instance.Service = "depot"
	}
	f.upstreams = append(f.upstreams, instance)
}

func (f *fixture) instances() []storer.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]storer.Instance(nil), f.upstreams...)
}

func (f *fixture) report(name string) (reporter.Report, time.Time, bool) {
	for i, engine := range f.engines {
		if f.upstreams[i].Name == name {
			return engine.Report(), time.Now(), true
		}
	}
	return reporter.Report{}, time.Time{}, false
}

// start connects router, forwarder, claimer and server and starts them.
func (f *fixture) start(config fixtureConfig) {
	f.router = router.New(router.Config{
		Domain:        "central",
		Upstreams:     f.instances,
		Report:        f.report,
		Changed:       f.signalChange,
		RetryFraction: 1,
		IgnoreLeaving: config.ignoreLeaving,
	})
	f.router.Refresh()
	config.forward.Pick = f.router.Pick
	config.forward.PickService = f.router.PickService
	config.forward.Retry = f.router.TakeRetry
	f.forwarder = forwarder.New(config.forward)
	platform := httptest.NewServer(platformer.New(platformer.Config{}))
	f.t.Cleanup(platform.Close)
	claims := claimer.New(claimer.Config{
		Store: binder.New(binder.Config{
			URL: platform.URL,
		}),
	})
	log := logrus.New()
	log.SetOutput(&lockedBuffer{
		fixture: f,
	})
	config.server.Snapshot = f.snapshot.Load
	config.server.Reserve = f.reserve
	config.server.Enter = f.enter
	config.server.Claim = claims.Claim
	config.server.AwaitService = f.router.AwaitService
	config.server.Forwarder = f.forwarder
	config.server.Log = log
	f.server = server.New(config.server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.address = &serverAddress{
		URL:      "http://" + listener.Addr().String(),
		Listener: listener,
	}
	f.t.Cleanup(func() { f.server.Close() })
	go f.server.Serve(listener)
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go f.forwarder.Run(ctx)
	go claims.Run(ctx)
}

// reserve admits every request without a limit.
func (f *fixture) reserve(_ context.Context, request limiter.Request) (*limiter.Reservation, error) {
	if request.Team == "" || request.Tokens <= 0 {
		f.t.Error("reservation without a team or without tokens")
	}
	return &limiter.Reservation{}, nil
}

// lockedBuffer writes to the log of a fixture under its lock.
type lockedBuffer struct {
	fixture *fixture
}

func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.fixture.mu.Lock()
	defer b.fixture.mu.Unlock()
	return b.fixture.log.Write(line)
}

func (f *fixture) logged() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.log.String()
}

func (f *fixture) signalChange() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// enter waits until the router has an upstream with room.
func (f *fixture) enter(ctx context.Context, ticket queuer.Ticket) (any, error) {
	for {
		if choice, ok := f.router.Pick(ticket.Value.(router.Need)); ok {
			return choice, nil
		}
		select {
		case <-f.changed:
		case <-ctx.Done():
			return nil, &refuser.Refusal{
				Code:    refuser.CodeBusy,
				Outcome: refuser.NotRun,
				Detail:  "no upstream has room",
			}
		}
	}
}

// loadModel loads the checkpoint and its adapter on an engine and waits until the checkpoint is ready.
func loadModel(t testing.TB, engine *runner.Runner) {
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

// withdraw withdraws a subject and aborts the requests that use it.
func (f *fixture) withdraw(subject configurator.Subject, name string) {
	added, err := configurator.NewWithdrawals().Add(configurator.Withdrawal{
		Subject:  subject,
		Name:     name,
		At:       time.Unix(1, 0),
		Operator: "test",
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.snapshot.Store(f.snapshot.Load().WithWithdrawals(added))
	f.server.AbortWithdrawn()
}

// send sends a request with the secret of the team crates.
func (f *fixture) send(method, path, body string, header ...string) *http.Response {
	f.t.Helper()
	request, err := http.NewRequest(method, f.address.URL+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { answer.Body.Close() })
	return answer
}
