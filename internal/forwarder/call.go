package forwarder

import (
	"context"
	"io"
	"net/http"
	"slices"

	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// Call is a call of a plain service.
type Call struct {
	// Request is the identity of the request in logs.
	Request string
	// Service is the service's name.
	Service string
	// Pin binds the call to one instance of the service; may be empty.
	Pin string
	// Method is the HTTP method.
	Method string
	// Path is the path.
	Path string
	// Escaped is the path as it was escaped; empty means in the usual way.
	Escaped string
	// Query is the query without credentials.
	Query string
	// Header is the header without credentials.
	Header http.Header
	// Body is the body.
	Body []byte
	// Team is whose call it is; empty on open routes.
	Team string
	// Once is set if the call must not run twice.
	Once bool
	// Choice is the instance of the first attempt.
	Choice *router.Choice
	// Check returns a refusal once the call must not be sent any more.
	Check func() error
	// Begin delivers the status and header of the answer.
	Begin func(status int, header http.Header)
	// Write delivers a part of the answer.
	Write func(part []byte) error
}

// Serve runs a call of a plain service. It returns a *refuser.Refusal unless
// the whole answer was delivered.
func (f *Forwarder) Serve(ctx context.Context, c *Call) (Result, error) {
	result := Result{}
	choice := c.Choice
	ran := false
	var tried []string
	for {
		result.Attempts++
		result.Upstream = choice.Upstream
		failed := f.call(ctx, c, choice, &result)
		choice.Done(health(failed))
		if failed == nil {
			return result, nil
		}
		ran = ran || !failed.unsent
		barred := failed.final || c.Once && ran
		if barred || result.Attempts >= f.config.Attempts || !f.config.Retry() {
			return result, refusal(failed, ran)
		}
		if err := c.Check(); err != nil {
			return result, checkRefusal(err, ran)
		}
		tried = append(tried, choice.Upstream)
		next, ok := f.config.PickService(c.Service, c.Pin, tried)
		if !ok {
			return result, refusal(failed, ran)
		}
		choice = next
	}
}

// call makes one attempt.
func (f *Forwarder) call(ctx context.Context, c *Call, choice *router.Choice, result *Result) *failure {
	a := newAttempt(c.Request)
	header := c.Header.Clone()
	header.Set(headerRequest, a.id)
	if c.Team != "" {
		header.Set(headerTeam, c.Team)
	}
	response, err := f.send(ctx, a, &message{
		method:  c.Method,
		address: choice.Address,
		path:    c.Path,
		escaped: c.Escaped,
		query:   c.Query,
		header:  header,
		body:    c.Body,
	})
	if err != nil {
		return f.unanswered(ctx, a, "the service did not answer", err)
	}
	defer func() { _ = response.Body.Close() }()
	result.Status = response.StatusCode
	if failed := f.identify(a, choice, response); failed != nil {
		return failed
	}
	if refusedUnrun(a, response) {
		return &failure{
			code:    refuser.CodeNoUpstream,
			detail:  "the service refused the call without running it",
			unsent:  true,
			neutral: true,
		}
	}
	answer, failed := readWhole(ctx, response)
	if failed != nil {
		return failed
	}
	c.Begin(answer.status, answer.header)
	return answer.deliver(f.allowance(0), c.Write)
}

// broken is the failure of an answer that broke off.
func broken(ctx context.Context, err error, begun bool) *failure {
	if ended := interrupted(ctx); ended != nil {
		return ended
	}
	return &failure{
		code:   refuser.CodeUpstreamFailed,
		detail: "the answer of the service broke off",
		final:  begun,
		cause:  err,
	}
}

// readUpTo appends what it reads until the bound or an error.
func readUpTo(from io.Reader, buffer []byte, bound int) ([]byte, error) {
	for len(buffer) < bound {
		buffer = slices.Grow(buffer, 512)
		room := min(cap(buffer), bound) - len(buffer)
		n, err := from.Read(buffer[len(buffer) : len(buffer)+room])
		buffer = buffer[:len(buffer)+n]
		if err != nil {
			return buffer, err
		}
	}
	return buffer, nil
}

// answerHeaders returns the fields of an answer that go to the caller.
func answerHeaders(header http.Header) http.Header {
	named := connectionFields(header)
	kept := make(http.Header, len(header))
	for name, values := range header {
		if slices.Contains(hopHeaders, name) || slices.Contains(named, name) || name == headerRequest {
			continue
		}
		kept[name] = values
	}
	return kept
}
