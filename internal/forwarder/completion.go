package forwarder

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// Completion is a request for a model. It may run again until its first token
// has gone to the caller.
type Completion struct {
	// Request is the identity of the request in logs.
	Request string
	// Path is the path at the engine.
	Path string
	// Body is the body for the engine, without credentials.
	Body []byte
	// Stream is set for server-sent events.
	Stream bool
	// Usage is set if the caller wants the event with the usage.
	Usage bool
	// Priority is "interactive" or "overnight".
	Priority string
	// Need is what another engine must have.
	Need router.Need
	// Choice is the engine of the first attempt.
	Choice *router.Choice
	// Check returns a refusal once the request must not be sent any more.
	Check func() error
	// Answer delivers the whole answer of a request without Stream.
	Answer func(answer []byte) error
	// Event delivers one server-sent event with the blank line that ends it.
	Event func(event []byte) error
}

// Complete runs a request for a model. It returns a *refuser.Refusal unless
// the whole answer was delivered.
func (f *Forwarder) Complete(ctx context.Context, c *Completion) (Result, error) {
	result := Result{}
	choice := c.Choice
	ran := false
	for {
		result.Attempts++
		result.Upstream = choice.Upstream
		failed := f.complete(ctx, c, choice, &result)
		choice.Done(health(failed))
		if failed == nil {
			return result, nil
		}
		ran = ran || !failed.unsent
		if failed.final || result.Attempts >= f.config.Attempts || !f.config.Retry() {
			return result, refusal(failed, ran)
		}
		if err := c.Check(); err != nil {
			return result, checkRefusal(err, ran)
		}
		c.Need.Exclude = append(c.Need.Exclude, choice.Upstream)
		next, ok := f.config.Pick(c.Need)
		if !ok {
			return result, refusal(failed, ran)
		}
		choice = next
	}
}

// health is what an attempt says of its upstream.
func health(failed *failure) router.Result {
	switch {
	case failed == nil:
		return router.Good
	case failed.neutral:
		return router.Neutral
	default:
		return router.Bad
	}
}

// checkRefusal is the refusal of a check, with the outcome of the attempts so far.
func checkRefusal(err error, ran bool) *refuser.Refusal {
	return refusal(&failure{
		code:   refusalCode(err),
		detail: err.Error(),
		cause:  err,
	}, ran)
}

// complete makes one attempt.
func (f *Forwarder) complete(ctx context.Context, c *Completion, choice *router.Choice, result *Result) *failure {
	a := newAttempt(c.Request)
	ctx, patience := f.newPatience(ctx, c, result)
	defer patience.end()
	response, err := f.send(ctx, a, &message{
		method:  http.MethodPost,
		address: choice.Address,
		path:    c.Path,
		header: http.Header{
			"Content-Type": []string{"application/json"},
			headerPriority: []string{c.Priority},
			headerRequest:  []string{a.id},
		},
		body: c.Body,
	})
	if err != nil {
		return f.abandon(ctx, a, choice, err)
	}
	result.Status = response.StatusCode
	if failed := f.examine(a, choice, response); failed != nil {
		_ = response.Body.Close()
		return failed
	}
	failed := f.deliver(ctx, c, choice, a, patience, response, result)
	if failed != nil {
		f.canceller.add(choice.Address, a.id)
	}
	return failed
}

func (f *Forwarder) deliver(ctx context.Context, c *Completion, choice *router.Choice, a *attempt, patience *patience, response *http.Response, result *Result) *failure {
	if !c.Stream {
		defer func() { _ = response.Body.Close() }()
		return f.whole(ctx, c, response, result)
	}
	r := &relay{
		forwarder:  f,
		completion: c,
		choice:     choice,
		attempt:    a,
		id:         []byte(a.id),
		patience:   patience,
		result:     result,
	}
	return r.deliver(ctx, response)
}

// abandon classifies a round trip that failed, and has the engine told to
// cancel what it may be running.
func (f *Forwarder) abandon(ctx context.Context, a *attempt, choice *router.Choice, err error) *failure {
	failed := f.unanswered(ctx, a, "the upstream did not answer", err)
	if !failed.unsent {
		f.canceller.add(choice.Address, a.id)
	}
	return failed
}

// examine refuses answers of other requests and failures of the engine.
func (f *Forwarder) examine(a *attempt, choice *router.Choice, response *http.Response) *failure {
	if failed := f.identify(a, choice, response); failed != nil {
		return failed
	}
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		return nil
	case refusedUnrun(a, response):
		return &failure{
			code:    refuser.CodeNoUpstream,
			detail:  "the engine refused the request without running it",
			unsent:  true,
			neutral: true,
		}
	case status == http.StatusBadRequest || status == http.StatusUnprocessableEntity || status == http.StatusRequestEntityTooLarge:
		return &failure{
			code:    refuser.CodeBadRequest,
			detail:  "the engine rejected the request",
			final:   true,
			neutral: true,
		}
	default:
		return &failure{
			code:   refuser.CodeUpstreamFailed,
			detail: "the engine failed",
		}
	}
}

// refusedUnrun tells whether the upstream says of this very attempt that it did not run it.
func refusedUnrun(a *attempt, response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(headerNotRun) == "true" && response.Header.Get(headerRequest) == a.id
}

// identify drops answers that carry the identity of another request. An
// upstream that has sent identities before must always send them.
func (f *Forwarder) identify(a *attempt, choice *router.Choice, response *http.Response) *failure {
	id := response.Header.Get(headerRequest)
	if id == a.id {
		if _, known := f.echoes.Load(choice.Upstream); !known {
			f.echoes.Store(choice.Upstream, true)
		}
		return nil
	}
	_, echoes := f.echoes.Load(choice.Upstream)
	if f.config.Trust || id == "" && !echoes {
		return nil
	}
	return &failure{
		code:   refuser.CodeUpstreamFailed,
		detail: "the upstream sent the answer of another request",
	}
}

// counted is the part of an answer that counts tokens.
type counted struct {
	Usage *struct {
		Prompt    int64 `json:"prompt_tokens"`
		Generated int64 `json:"completion_tokens"`
	} `json:"usage"`
}

// count takes the usage out of an answer or an event.
func (r *Result) count(data []byte) error {
	var answer counted
	if err := json.Unmarshal(data, &answer); err != nil {
		return err
	}
	if answer.Usage != nil {
		r.Prompt = answer.Usage.Prompt
		r.Generated = answer.Usage.Generated
		r.Usage = true
	}
	return nil
}

// whole reads an answer to its end before any of it is delivered.
func (f *Forwarder) whole(ctx context.Context, c *Completion, response *http.Response, result *Result) *failure {
	data, err := io.ReadAll(io.LimitReader(response.Body, f.config.Answer+1))
	if ended := interrupted(ctx); ended != nil {
		return ended
	}
	if err == nil && int64(len(data)) > f.config.Answer {
		err = &AnswerTooLarge{
			Bytes: f.config.Answer,
		}
	}
	if err == nil {
		err = result.count(data)
	}
	if err != nil {
		return &failure{
			code:   refuser.CodeUpstreamFailed,
			detail: "the answer of the engine broke off",
			cause:  err,
		}
	}
	result.First = f.config.Now()
	if err := c.Answer(data); err != nil {
		return callerGone(err)
	}
	return nil
}
