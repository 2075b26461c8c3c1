package forwarder

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// Header fields that the product sets on requests to upstreams, or reads from answers.
const (
	headerRequest  = "X-Request-Id"
	headerNotRun   = "X-Not-Run"
	headerPriority = "X-Priority"
	headerTeam     = "X-Team"
)

// attempt is one attempt of a request on one upstream.
type attempt struct {
	// id is the identity that is sent to the upstream, which the answer must echo. It is
	// unique to the attempt, except for routed requests and resumed streams.
	id string
	// conn is the connection that was used, or nil; mark is the number of its writes before that.
	conn *conn
	mark uint64
	// reused is set if the connection served other requests before.
	reused bool
}

// newAttempt returns an attempt with a random suffix to the request's identity.
func newAttempt(request string) *attempt {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return &attempt{
		id: request + "." + hex.EncodeToString(random[:]),
	}
}

// message holds the HTTP request that an attempt sends.
type message struct {
	method  string
	address netip.AddrPort
	path    string
	// target is the path and query exactly as received, which replaces path, escaped
	// and query; may be empty.
	target string
	// host is the value of the Host field; empty means the address.
	host string
	// escaped is the path as the caller escaped it, or empty.
	escaped string
	query   string
	header  http.Header
	body    []byte
}

// send sends a message once. The transport is given no means to resend it.
func (f *Forwarder) send(ctx context.Context, a *attempt, m *message) (*http.Response, error) {
	target := &url.URL{
		Scheme:   "http",
		Host:     m.address.String(),
		Path:     m.path,
		RawPath:  m.escaped,
		RawQuery: m.query,
	}
	if m.target != "" {
		target.Opaque = m.target
		target.RawQuery = ""
	}
	if m.host == "" {
		m.host = target.Host
	}
	if _, set := m.header["User-Agent"]; !set {
		m.header["User-Agent"] = []string{""}
	}
	request := (&http.Request{
		Method:        m.method,
		URL:           target,
		Host:          m.host,
		Header:        m.header,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: int64(len(m.body)),
		Body: &body{
			data: m.body,
		},
	}).WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: a.gotConn,
	}))
	if f.config.Rewind {
		rewind(request, m.body)
	}
	return f.transport.RoundTrip(request)
}

// rewind gives the transport what it needs to resend a request on its own.
func rewind(request *http.Request, data []byte) {
	request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(data)), nil }
	request.Body, _ = request.GetBody()
	if len(data) == 0 {
		request.Body = http.NoBody
	}
}

// gotConn records the connection of the attempt and the number of its writes so far.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.reused = info.Reused
	if c, ok := info.Conn.(*conn); ok {
		a.conn = c
		a.mark = c.mark()
	}
}

// unsent reports whether a failed attempt provably did not run.
func (f *Forwarder) unsent(a *attempt) bool {
	return f.config.Unsealed || a.unsent()
}

// unanswered returns the failure of a round trip. The detail is reported to the caller.
func (f *Forwarder) unanswered(ctx context.Context, a *attempt, detail string, err error) *failure {
	failed := &failure{
		code:   refuser.CodeUpstreamFailed,
		detail: detail,
		cause:  err,
	}
	if ended := interrupted(ctx); ended != nil {
		failed = ended
		failed.countDeadline()
	}
	failed.unsent = f.unsent(a)
	return failed
}

// unsent reports whether no byte of the request can have been sent, and in that
// case blocks later writes. The round trip must have failed already.
func (a *attempt) unsent() bool {
	return a.conn == nil || a.conn.seal(a.mark)
}
