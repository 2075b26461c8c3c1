package forwarder

import (
	"context"
	"io"
	"net/http"
	"slices"

	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// Call is a request to a plain service, with the functions that deliver its answer.
type Call struct {
	// Request is the identity of the request in logs.
	Request string
	// Service is the name of the service.
	Service string
	// Pin is a key: all calls with the same one go to the same instance. Empty means any instance.
	Pin string
	// Method is the HTTP method.
	Method string
	// Path is the unescaped path.
	Path string
	// Escaped is the path as the caller escaped it; empty means the default escaping.
	Escaped string
	// Query is the query string without credentials.
	Query string
	// Header holds the header fields without credentials.
	Header http.Header
	// Body is the request body.
	Body []byte
	// Team is the team of the caller; empty on open routes.
	Team string
	// Once is set if the call must not run twice.
	Once bool
	// Choice is the slot on the instance of the first attempt.
	Choice *router.Choice
	// Check returns a refusal if the call must not be sent any more.
	Check func() error
	// Begin delivers the status and header of the answer.
	Begin func(status int, header http.Header)
	// Write delivers a part of the answer's body.
	Write func(part []byte) error
}

// Serve sends a call to a plain service, retrying it on other instances. It returns
// a *refuser.Refusal unless the complete answer was delivered.
func (f *Forwarder) Serve(ctx context.Context, c *Call) (Result, error) {
	result := Result{}
	choice := c.Choice
	mayHaveRun := false
	var tried []string
	for {
		result.Attempts++
		result.Upstream = choice.Upstream
		failed := f.call(ctx, c, choice, &result)
		choice.Done(health(failed))
		if failed == nil {
			return result, nil
		}
		if log := f.attemptLog(c.Request, &result, failed); log != nil {
			log.Info("call.attempt")
		}
		mayHaveRun = mayHaveRun || !failed.unsent
		noRetry := failed.final || c.Once && mayHaveRun
		if noRetry || result.Attempts >= f.config.MaxAttempts || !f.config.Retry() {
			return result, refusal(failed, mayHaveRun)
		}
		if err := c.Check(); err != nil {
			return result, checkRefusal(err, mayHaveRun)
		}
		tried = append(tried, choice.Upstream)
		next, ok := f.config.PickService(c.Service, c.Pin, tried)
		if !ok {
			return result, refusal(failed, mayHaveRun)
		}
		choice = next
	}
}

// call makes one attempt of a call.
func (f *Forwarder) call(ctx context.Context, c *Call, choice *router.Choice, result *Result) *failure {
	a := newAttempt(c.Request)
	a.repeated = result.Attempts > 1
	header := c.Header.Clone()
	header.Set(headerRequest, a.id)
	if c.Team != "" {
		header.Set(headerTeam, c.Team)
	}
	response, err := f.send(ctx, choice, a, &outgoingRequest{
		method:  c.Method,
		address: choice.Address,
		path:    c.Path,
		escaped: c.Escaped,
		query:   c.Query,
		header:  header,
		body:    c.Body,
	})
	if err != nil {
		return f.roundTripFailure(ctx, a, "the service did not answer", err)
	}
	defer func() { _ = response.Body.Close() }()
	result.Status = response.StatusCode
	if failed := f.checkIdentity(a, choice, response); failed != nil {
		return failed
	}
	if refusedWithoutRunning(a, response) {
		return &failure{
			code:    refuser.CodeNoUpstream,
			detail:  "the service refused the call without running it",
			unsent:  true,
			neutral: true,
		}
	}
	answer, failed := readAnswer(ctx, response)
	if failed != nil {
		return failed
	}
	if failed := f.checkPromise(c.Request, choice.Upstream, answer.status); failed != nil {
		return failed
	}
	c.Begin(answer.status, answer.header)
	return answer.deliver(f.newAnswerLimit(0), c.Write)
}

// truncatedAnswer returns the failure of an answer whose body ended early. It is final if a
// part of the answer was already delivered.
func truncatedAnswer(ctx context.Context, err error, begun bool) *failure {
	if ended := contextFailure(ctx); ended != nil {
		return ended
	}
	return &failure{
		code:   refuser.CodeUpstreamFailed,
		detail: "the answer of the service broke off",
		final:  begun,
		cause:  err,
	}
}

// readUpTo appends to the buffer until it holds limit bytes or reading fails.
func readUpTo(from io.Reader, buffer []byte, limit int) ([]byte, error) {
	for len(buffer) < limit {
		buffer = slices.Grow(buffer, 512)
		free := min(cap(buffer), limit) - len(buffer)
		n, err := from.Read(buffer[len(buffer) : len(buffer)+free])
		buffer = buffer[:len(buffer)+n]
		if err != nil {
			return buffer, err
		}
	}
	return buffer, nil
}

// answerHeaders returns the header fields of an answer that are passed to the
// caller: all but hop-by-hop fields and the request identity.
func answerHeaders(header http.Header) http.Header {
	hopNamed := connectionFields(header)
	kept := make(http.Header, len(header))
	for name, values := range header {
		if slices.Contains(hopHeaders, name) || slices.Contains(hopNamed, name) || name == headerRequest {
			continue
		}
		kept[name] = values
	}
	return kept
}
