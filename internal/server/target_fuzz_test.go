package server_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/server"
)

// targetSite sends requests with odd targets through a server to an upstream.
type targetSite struct {
	fixture *routedFixture
	address string
}

func newTargetSite(t testing.TB) *targetSite {
	t.Helper()
	f := newRoutedFixture(t, server.Config{
		Routed: true,
	}, func(http.ResponseWriter, *http.Request) {})
	return &targetSite{
		fixture: f,
		address: strings.TrimPrefix(f.url, "http://"),
	}
}

// exchange sends a request line and returns the status of the response and what arrived at the upstream; nil if nothing did.
func (s *targetSite) exchange(t testing.TB, method, target string) (int, *http.Request) {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetLinger(0) // many connections must not use up the ports
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: root.example\r\nX-Request-Id: r\r\n\r\n", method, target); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("%q %q: %v", method, target, err)
	}
	s.fixture.mu.Lock()
	defer s.fixture.mu.Unlock()
	arrived := s.fixture.requests
	s.fixture.requests = nil
	if len(arrived) > 1 {
		t.Fatalf("%q %q: %d requests arrived", method, target, len(arrived))
	}
	if len(arrived) == 0 {
		return response.StatusCode, nil
	}
	return response.StatusCode, arrived[0]
}

// check reports a request that reached the upstream with another request line or host, or one that was answered with a success
// although no upstream ran it.
func (s *targetSite) check(t testing.TB, method, target string) (status int, arrived bool) {
	t.Helper()
	status, request := s.exchange(t, method, target)
	switch {
	case request == nil && status < http.StatusBadRequest:
		t.Fatalf("%q %q got status %d and reached no upstream", method, target, status)
	case request != nil && (request.Method != method || request.RequestURI != target || request.Host != "root.example"):
		t.Fatalf("%q %q reached the upstream as %q %q of host %q", method, target, request.Method, request.RequestURI, request.Host)
	}
	return status, request != nil
}

// TestOddTargetsAreForwardedUnchangedOrRefused guards against a target that reaches an upstream in another form.
func TestOddTargetsAreForwardedUnchangedOrRefused(t *testing.T) {
	site := newTargetSite(t)
	const refused = http.StatusBadRequest
	for _, c := range []struct {
		method, target string
		// status is that of the response; zero means that the request is forwarded.
		status int
	}{
		{target: "//crates/1/balance?day=1"},
		{target: "//"},
		{target: "///crates"},
		{target: "//crates?"},
		{target: "//crates??a//b?"},
		{target: "//evil.example:80/%2F%2f//x"},
		{target: "//user@evil.example/"},
		{target: "//crates/|", status: refused},
		{target: "//crates#part", status: refused},
		{target: "/crates/|\"<>^`{}\\"},
		{target: "/crates#part?a#b"},
		{target: "/crates/../../etc/./x/.."},
		{target: "/.."},
		{target: "/%2e%2E/%2F%5c%00%0d%0a"},
		{target: "/a//b///"},
		{target: "/a;b=c,d:e@f!$&'()*+"},
		{target: "/\xc3\xa4\xff"},
		{target: "/?"},
		{target: "/a?"},
		{target: "/a?&&=&%zz;#"},
		{target: "/a??b"},
		{target: "/a?//b"},
		{target: "/*"},
		{target: "/http://crates/1"},
		{target: "/%zz", status: refused},
		{target: "/a\x7f", status: refused},
		{target: "/a\tb", status: refused},
		{target: "/a b", status: refused},
		{target: "http://root.example/crates", status: refused},
		{target: "http://other.example//crates", status: refused},
		{target: "*", status: refused},
		{target: "crates", status: refused},
		{target: "?a", status: refused},
		{method: http.MethodOptions, target: "*", status: refused},
		{method: http.MethodOptions, target: "//crates"},
		{method: http.MethodConnect, target: "crates.example:80", status: refused},
		{method: http.MethodConnect, target: "/crates", status: refused},
		{method: "get", target: "//crates"},
	} {
		if c.method == "" {
			c.method = http.MethodGet
		}
		status, arrived := site.check(t, c.method, c.target)
		if arrived != (c.status == 0) || !arrived && status != c.status {
			t.Errorf("%q %q: status %d, reached the upstream %v", c.method, c.target, status, arrived)
		}
	}
}

// FuzzTarget checks that the request line that an upstream reads is the caller's, or that the request reaches none.
func FuzzTarget(f *testing.F) {
	for _, seed := range []string{"/", "//crates/1?day=1", "//a|b", "/a#b?c", "*", "http://x/y", "//%2f/..?%zz", "/?", "///?", "//[::1]:80/"} {
		f.Add(http.MethodGet, seed)
		f.Add(http.MethodOptions, seed)
	}
	site := newTargetSite(f)
	f.Fuzz(func(t *testing.T, method, target string) {
		if method == http.MethodHead || strings.ContainsAny(method+target, "\r\n") {
			return // an answer without a body, and more than one line
		}
		site.check(t, method, target)
	})
}
