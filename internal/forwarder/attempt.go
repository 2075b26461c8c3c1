package forwarder

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/completer"
	"github.com/buckthorngap/buckthorngap/internal/pacer"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// Header fields that the product sets on requests to upstreams or reads from their answers.
const (
	headerRequest  = "X-Request-Id"
	headerNotRun   = "X-Not-Run"
	headerPriority = "X-Priority"
	headerTeam     = "X-Team"
)

// attempt is one attempt of a request on one upstream.
type attempt struct {
	// id is the request identity that is sent to the upstream and that the answer must echo. It is
	// unique to the attempt, except for routed requests and resumed streams.
	id string
	// conn is the connection that was used, or nil.
	conn *conn
	// writesBefore is the number of writes on the connection before the attempt got it.
	writesBefore uint64
	// reused is set if the connection served other requests before.
	reused bool
	// repeated is set if the request was sent to an upstream before.
	repeated bool
	// newConnection is set if the attempt must not use a connection that served other requests.
	newConnection bool
	// answer is the metadata in the header of the answer.
	answer AnswerMetadata
}

// newAttempt returns an attempt with a random suffix to the request's identity.
func newAttempt(request string) *attempt {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return &attempt{
		id: request + "." + hex.EncodeToString(random[:]),
	}
}

// send sends the request of an attempt to the chosen upstream once, and records what the answer states about
// the upstream. The transport cannot resend the request, as its body cannot be rewound.
func (f *Forwarder) send(ctx context.Context, choice *router.Choice, a *attempt, m *outgoingRequest) (*http.Response, error) {
	target := &url.URL{
		Scheme:   "http",
		Host:     m.address.String(),
		Path:     m.path,
		RawPath:  m.escaped,
		RawQuery: m.query,
	}
	if m.target != "" {
		exact, ok := targetURL(target.Host, m.target)
		if !ok {
			return nil, &UnsupportedTarget{
				Target: m.target,
			}
		}
		target = exact
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
		Body: &onceBody{
			data: m.body,
		},
	}).WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: a.gotConn,
	}))
	if f.config.AllowResend {
		allowResend(request, m.body)
	}
	sent := f.config.Now()
	choice.CountSent(a.repeated)
	transport := f.transport
	if a.newConnection {
		transport = f.unkept
	}
	response, err := transport.RoundTrip(request)
	if err == nil {
		f.observe(choice, a, sent, response)
	}
	return response, err
}

// observe records the load and the limit that an answer states, and that its upstream leaves. An answer without a limit counts only if it
// is a success for this request: others may come from a part of the upstream that knows of no limits.
func (f *Forwarder) observe(choice *router.Choice, a *attempt, sent time.Time, response *http.Response) {
	a.answer = f.config.Dialect.ReadAnswer(response.Header)
	if a.answer.HasLoad {
		choice.Observe(a.answer.Load)
	}
	if a.answer.Leaving {
		choice.ObserveLeaving()
	}
	if response.StatusCode == http.StatusServiceUnavailable && (a.answer.RequestID == "" || a.answer.RequestID == a.id) {
		f.observePause(choice, response.Header.Get("Retry-After"))
	}
	succeeded := response.StatusCode < http.StatusMultipleChoices && a.answer.Receipt
	own := a.answer.RequestID == "" || a.answer.RequestID == a.id
	if a.answer.RateLimited || succeeded && own {
		choice.ObserveLimit(pacer.Statement{
			Limited: a.answer.RateLimited,
			Rate:    a.answer.RateLimit,
			Sent:    sent,
		})
	}
}

// allowResend gives the transport a body that it can rewind to resend a request on its own.
func allowResend(request *http.Request, data []byte) {
	request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(data)), nil }
	request.Body, _ = request.GetBody()
	if len(data) == 0 {
		request.Body = http.NoBody
	}
}

// gotConn is called by the transport. It records the connection of the attempt and the number of its
// writes so far.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.reused = info.Reused
	outer, ok := info.Conn.(*completer.Conn)
	if !ok {
		return
	}
	if c, ok := outer.Conn.(*conn); ok {
		a.conn = c
		a.writesBefore = c.writeCount()
	}
}

// unsent reports whether a failed attempt is known not to have run.
func (f *Forwarder) unsent(a *attempt) bool {
	return f.config.AssumeUnsent || a.unsent()
}

// roundTripFailure returns the failure of an attempt that got no answer. The detail is reported to the
// caller.
func (f *Forwarder) roundTripFailure(ctx context.Context, a *attempt, detail string, err error) *failure {
	failed := &failure{
		code:   refuser.CodeUpstreamFailed,
		detail: detail,
		cause:  err,
	}
	if ended := contextFailure(ctx); ended != nil {
		failed = ended
		failed.countDeadline()
	}
	failed.unsent = f.unsent(a)
	return failed
}

// closeConnection closes the connection of an attempt whose own answer is still to come, so that no other request gets it.
func (a *attempt) closeConnection() {
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

// unsent reports whether no byte of the request can have been sent, and in that case blocks later
// writes. It must be called only after the round trip has failed.
func (a *attempt) unsent() bool {
	return a.conn == nil || a.conn.seal(a.writesBefore)
}
