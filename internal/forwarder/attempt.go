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

// The headers of this product on the way to upstreams.
const (
	headerRequest  = "X-Request-Id"
	headerNotRun   = "X-Not-Run"
	headerPriority = "X-Priority"
	headerTeam     = "X-Team"
)

// attempt is one try of a request at one upstream.
type attempt struct {
	// id is the identity on the wire, new for each attempt, which the answer must repeat.
	id   string
	conn *conn
	mark uint64
	// reused is set if the connection served other requests before.
	reused bool
}

func newAttempt(request string) *attempt {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return &attempt{
		id: request + "." + hex.EncodeToString(random[:]),
	}
}

// message is what an attempt sends.
type message struct {
	method  string
	address netip.AddrPort
	path    string
	// target is the path and query as they came, in place of the fields below; or empty.
	target string
	// host is the host to name; empty means the address.
	host string
	// escaped is the path as it was escaped, or empty.
	escaped string
	query   string
	header  http.Header
	body    []byte
}

// send sends a message once. The transport is given no means to send it again.
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
	if _, told := m.header["User-Agent"]; !told {
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

// rewind gives the transport what it needs to send a request again by itself.
func rewind(request *http.Request, data []byte) {
	request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(data)), nil }
	request.Body, _ = request.GetBody()
	if len(data) == 0 {
		request.Body = http.NoBody
	}
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.reused = info.Reused
	if c, ok := info.Conn.(*conn); ok {
		a.conn = c
		a.mark = c.mark()
	}
}

// unsent tells whether a failed attempt provably did not run.
func (f *Forwarder) unsent(a *attempt) bool {
	return f.config.Unsealed || a.unsent()
}

// unanswered classifies a round trip that failed. The detail is for the caller.
func (f *Forwarder) unanswered(ctx context.Context, a *attempt, detail string, err error) *failure {
	failed := &failure{
		code:   refuser.CodeUpstreamFailed,
		detail: detail,
		cause:  err,
	}
	if ended := interrupted(ctx); ended != nil {
		failed = ended
		failed.silent()
	}
	failed.unsent = f.unsent(a)
	return failed
}

// unsent tells whether no byte of the request can have left, and makes sure
// that none will. The round trip must have failed.
func (a *attempt) unsent() bool {
	return a.conn == nil || a.conn.seal(a.mark)
}
