package server_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

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

// routedFixture is a server that forwards requests by route to one upstream, and records what the upstream received and
// what was reserved.
type routedFixture struct {
	url      string
	server   *server.Server
	snapshot *configurator.Snapshot
	// full makes requests wait in the queue until their context ends.
	full atomic.Bool
	// overLimit makes requests wait for their team's limit until their context ends.
	overLimit atomic.Bool

	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	reserved []int64
	// ranks are the priorities of the reservations; waitDeadline is the context deadline of the last one.
	ranks        []int
	waitDeadline time.Time
}

// newRoutedFixture starts the server and its upstream; answer is the upstream's handler.
func newRoutedFixture(t testing.TB, config server.Config, answer http.HandlerFunc) *routedFixture {
	t.Helper()
	f := &routedFixture{}
	f.snapshot = f.configuration(t)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		f.mu.Lock()
		f.requests = append(f.requests, r)
		f.bodies = append(f.bodies, string(body))
		f.mu.Unlock()
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		answer(w, r)
	}))
	t.Cleanup(upstream.Close)
	upstreamRouter := router.New(router.Config{
		Upstreams: func() []storer.Instance {
			return []storer.Instance{
				{
					Name:    "desk-1",
					Role:    storer.RoleService,
					Service: "desk",
					Address: netip.MustParseAddrPort(upstream.Listener.Addr().String()),
				},
				{
					Name:    "engine-1",
					Role:    storer.RoleEngine,
					Service: "engines",
					Address: netip.MustParseAddrPort(upstream.Listener.Addr().String()),
				},
			}
		},
		Report: func(name string) (reporter.Report, time.Time, bool) {
			return reporter.Report{
				Copies: []reporter.Copy{
					{
						Checkpoint: "ledger",
						State:      reporter.CopyReady,
					},
				},
			}, time.Now(), name == "engine-1"
		},
	})
	upstreamRouter.Refresh()
	config.Snapshot = func() *configurator.Snapshot { return f.snapshot }
	config.Reserve = f.reserve
	config.Place = func(need router.Need) (*router.Choice, bool) {
		choice, ok := upstreamRouter.Pick(need)
		if ok {
			choice.AdapterMissing = config.LoadAdapter != nil
		}
		return choice, ok
	}
	config.Enter = func(ctx context.Context, ticket queuer.Ticket) (any, error) {
		if f.full.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		choice, ok := upstreamRouter.Pick(ticket.Value.(router.Need))
		if !ok {
			return nil, &refuser.Refusal{
				Code:    refuser.CodeBusy,
				Outcome: refuser.NotRun,
			}
		}
		choice.AdapterMissing = config.LoadAdapter != nil
		return choice, nil
	}
	config.Forwarder = forwarder.New(forwarder.Config{
		Retry: func() bool { return true },
	})
	front := server.New(config)
	f.server = front
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go front.Serve(listener)
	t.Cleanup(func() { front.Close() })
	f.url = "http://" + listener.Addr().String()
	return f
}

func (f *routedFixture) reserve(ctx context.Context, request limiter.Request) (*limiter.Reservation, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reserved = append(f.reserved, request.Tokens)
	f.ranks = append(f.ranks, request.Rank)
	f.waitDeadline, _ = ctx.Deadline()
	if f.overLimit.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &limiter.Reservation{}, nil
}

// send sends a request to the host of the routes and returns the response and its body, or the text of the error.
func (f *routedFixture) send(t *testing.T, method, target, body string, fields ...string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, f.url+target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "Depot.example:80"
	for i := 0; i+1 < len(fields); i += 2 {
		request.Header.Set(fields[i], fields[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err.Error()
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return response, err.Error()
	}
	return response, string(content)
}

func TestRouteForwardsToItsService(t *testing.T) {
	is := is.New(t)
	f := newRoutedFixture(t, server.Config{}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Own", "1")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "logged")
	})
	response, body := f.send(t, http.MethodPost, "/once/a%2Fb?x=1&y", "crate", "X-Api-Key", secret, "X-Request-Id", "r1", "X-Team", "forged")
	is.Equal(response.StatusCode, http.StatusCreated)
	is.Equal(body, "logged")
	is.Equal(response.Header.Get("X-Own"), "1")
	is.Equal(response.Header.Get("X-Request-Id"), "r1")
	is.Equal(f.requests[0].RequestURI, "/once/a%2Fb?x=1&y")
	is.Equal(f.requests[0].Header.Get("X-Team"), "crates")
	is.Equal(f.requests[0].Header.Get("X-Api-Key"), "")
	is.Equal(f.requests[0].Header.Get("X-Upstream"), "desk-1")
	is.Equal(f.bodies[0], "crate")
	is.Equal(f.reserved, []int64{200}) // the team's charge for a request that states no tokens
	_, _ = f.send(t, http.MethodGet, "/once/", "", "X-Api-Key", secret, "X-Tokens", "300,50")
	is.Equal(f.reserved, []int64{200, 350})
}

// TestWaitForTheLimitIsBoundedByTheObjective guards against requests that wait for their team's limit until their
// objective has passed, which makes the requests queued behind them late as well.
func TestWaitForTheLimitIsBoundedByTheObjective(t *testing.T) {
	is := is.New(t)
	f := newRoutedFixture(t, server.Config{}, func(http.ResponseWriter, *http.Request) {})
	began := time.Now()
	_, _ = f.send(t, http.MethodGet, "/brisk/1", "", "X-Api-Key", secret)
	is.Equal(f.ranks, []int{2}) // the route's priority
	is.True(!f.waitDeadline.Before(began.Add(200 * time.Millisecond)))
	is.True(f.waitDeadline.Before(time.Now().Add(200 * time.Millisecond))) // half of the objective
	_, _ = f.send(t, http.MethodGet, "/once/1", "", "X-Api-Key", secret)
	is.True(f.waitDeadline.After(time.Now().Add(400 * time.Millisecond))) // no objective, so the request's own deadline
}

// TestRequestWaitsForAnEngineThatIsBusy checks that a request waits while the only engine with the model executes
// another order, until the time that the engine's refusal gives.
func TestRequestWaitsForAnEngineThatIsBusy(t *testing.T) {
	is := is.New(t)
	var prepareCalls atomic.Int64
	f := newRoutedFixture(t, server.Config{
		LoadAdapter: func(context.Context, *router.Choice, router.Need) error {
			if prepareCalls.Add(1) > 2 {
				return nil
			}
			return &refuser.Refusal{
				Code:    refuser.CodeNoUpstream,
				Outcome: refuser.NotRun,
				RetryAt: time.Now().Add(20 * time.Millisecond),
			}
		},
	}, func(http.ResponseWriter, *http.Request) {})
	response, _ := f.send(t, http.MethodGet, "/once/1", "", "X-Api-Key", secret)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(prepareCalls.Load(), int64(3))
	prepareCalls.Store(0)
	response, _ = f.send(t, http.MethodGet, "/hasty/1", "", "X-Api-Key", secret)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable) // its patience ends before the engine is free
	is.Equal(prepareCalls.Load(), int64(1))
}

func TestRouteNeedsAKeyUnlessItIsOpen(t *testing.T) {
	is := is.New(t)
	f := newRoutedFixture(t, server.Config{}, func(http.ResponseWriter, *http.Request) {})
	response, _ := f.send(t, http.MethodGet, "/once/1", "")
	is.Equal(response.StatusCode, http.StatusUnauthorized)
	response, _ = f.send(t, http.MethodGet, "/once/1", "", "X-Api-Key", "wrong")
	is.Equal(response.StatusCode, http.StatusUnauthorized)
	is.Equal(len(f.requests), 0)
	response, _ = f.send(t, http.MethodGet, "/open/1", "")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(len(f.reserved), 0)
	response, _ = f.send(t, http.MethodGet, "/none/1", "", "X-Api-Key", secret)
	is.Equal(response.StatusCode, http.StatusNotFound)
}

func TestStatusOfARoutedRefusalTellsWhetherItRan(t *testing.T) {
	is := is.New(t)
	f := newRoutedFixture(t, server.Config{}, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	response, _ := f.send(t, http.MethodPost, "/once/1", "crate", "X-Api-Key", secret)
	is.Equal(response.StatusCode, http.StatusBadGateway) // it may have run
	refusing := newRoutedFixture(t, server.Config{}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	response, _ = refusing.send(t, http.MethodPost, "/once/1", "crate", "X-Api-Key", secret)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	slow := newRoutedFixture(t, server.Config{}, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	response, _ = slow.send(t, http.MethodGet, "/short/1", "", "X-Api-Key", secret)
	is.Equal(response.StatusCode, http.StatusGatewayTimeout)
	unknown := newRoutedFixture(t, server.Config{
		ConfigReady: func() bool { return false },
	}, func(http.ResponseWriter, *http.Request) {})
	response, _ = unknown.send(t, http.MethodGet, "/none/1", "")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable) // without a configuration, the route is not reported as missing
}

func TestTruncatedRoutedResponseEndsTheConnection(t *testing.T) {
	is := is.New(t)
	f := newRoutedFixture(t, server.Config{}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "200000")
		_, _ = w.Write(make([]byte, 100_000))
		panic(http.ErrAbortHandler)
	})
	_, body := f.send(t, http.MethodGet, "/open/1", "")
	is.Equal(body, "unexpected EOF")
}

func TestMalformedFactsAreRefused(t *testing.T) {
	is := is.New(t)
	f := newRoutedFixture(t, server.Config{}, func(http.ResponseWriter, *http.Request) {})
	for _, field := range []string{"X-Tokens", "X-Prompt-Parts", "X-Timeout"} {
		response, _ := f.send(t, http.MethodGet, "/open/1", "", field, "soon")
		is.Equal(response.StatusCode, http.StatusBadRequest) // field
	}
	is.Equal(len(f.requests), 0)
}

// TestTargetThatIsNoPathIsRefused sends targets that http.ServeMux would redirect or interpret: paths are forwarded
// unchanged, other targets are refused.
func TestTargetThatIsNoPathIsRefused(t *testing.T) {
	is := is.New(t)
	f := newRoutedFixture(t, server.Config{
		Routed: true,
	}, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	is.NoErr(err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for target, status := range map[string]int{
		"/open//x/../y":              http.StatusOK,
		"http://depot.example/open/": http.StatusBadRequest,
		"*":                          http.StatusBadRequest,
	} {
		_, err = io.WriteString(conn, "OPTIONS "+target+" HTTP/1.1\r\nHost: depot.example\r\n\r\n")
		is.NoErr(err)
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, response.Body)
		if target != "*" { // net/http answers that one itself
			is.Equal(response.StatusCode, status) // target
		}
	}
	is.Equal(f.requests[0].RequestURI, "/open//x/../y")
	is.True(!errors.Is(err, io.EOF))
}

// TestRequestForFailedUpstreamsIsRefusedAtOnce guards against an incident in which requests waited for unreachable
// engines until their callers gave up.
func TestRequestForFailedUpstreamsIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	until := time.Now().Add(time.Minute)
	f := newRoutedFixture(t, server.Config{
		CooldownEnd: func(router.Need) (time.Time, bool) { return until, true },
	}, func(http.ResponseWriter, *http.Request) {})
	response, _ := f.send(t, http.MethodGet, "/open/1", "")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("Retry-After"), "60")
	is.Equal(len(f.requests), 0)
}

// TestDrainingInstanceRefusesWaitingRequests guards against a failure in rolling restarts: a request that waited for a
// model when its instance stopped got no response at all.
func TestDrainingInstanceRefusesWaitingRequests(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{})
	waiting := server.New(server.Config{
		Routed:      true,
		DrainNotice: 20 * time.Millisecond,
		Snapshot:    func() *configurator.Snapshot { return (&routedFixture{}).configuration(t) },
		Enter: func(ctx context.Context, _ queuer.Ticket) (any, error) {
			close(entered)
			<-ctx.Done()
			return nil, &refuser.Refusal{
				Code:    refuser.CodeDeadline,
				Outcome: refuser.NotRun,
			}
		},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = waiting.Serve(listener) }()
	drained := make(chan error, 1)
	go func() {
		<-entered
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		drained <- waiting.Drain(ctx)
	}()
	f := &routedFixture{
		url: "http://" + listener.Addr().String(),
	}
	response, _ := f.send(t, http.MethodGet, "/open/1", "")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
	is.NoErr(<-drained)
}

// TestOnlyTheKeysFieldIsACredential guards against a request that another field authenticates, and against fields that are dropped
// since they contain the key by chance.
func TestOnlyTheKeysFieldIsACredential(t *testing.T) {
	is := is.New(t)
	f := newRoutedFixture(t, server.Config{
		Routed: true,
		HeaderFormat: server.HeaderFormat{
			Key:            "X-Api-Key",
			ReservedFields: []string{"X-Api-Key"},
		},
	}, func(http.ResponseWriter, *http.Request) {})
	for _, c := range []struct {
		key, authorization string
		status             int
		forwarded          string
	}{
		{key: secret, authorization: "Bearer other", status: http.StatusOK, forwarded: "Bearer other"},
		{key: shortSecret, authorization: "Basic 11", status: http.StatusOK, forwarded: "Basic 11"},
		{key: secret, authorization: "Bearer " + secret, status: http.StatusOK},
		{key: "unknown", authorization: "Bearer " + secret, status: http.StatusUnauthorized},
	} {
		f.requests = nil
		response, _ := f.send(t, http.MethodGet, "/once/", "", "X-Api-Key", c.key, "Authorization", c.authorization, "X-Tokens", "1460,80", "X-Request-Id", "r-1")
		is.Equal(response.StatusCode, c.status)
		if c.status != http.StatusOK {
			is.Equal(len(f.requests), 0)
			continue
		}
		header := f.requests[0].Header
		is.Equal(header.Get("Authorization"), c.forwarded)
		is.Equal(header.Get("X-Tokens"), "1460,80")
		is.Equal(header.Get("X-Request-Id"), "r-1")
		is.Equal(header.Values("X-Api-Key"), nil)
	}
}
