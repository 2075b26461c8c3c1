package forwarder

import (
	"context"
	"net/http"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// Routed is a request whose body only its upstream understands.
type Routed struct {
	// Request is the identity of the request in logs.
	Request string
	// Identity is the identity that answers must carry, if they carry one.
	Identity string
	// Method is the HTTP method.
	Method string
	// Target is the path and query as they came.
	Target string
	// Host is the host that the caller named.
	Host string
	// Header is the caller's header as far as it goes to upstreams.
	Header http.Header
	// Body is the body.
	Body []byte
	// Stamp is what upstreams are told; Left and Upstream are filled in here.
	Stamp Stamp
	// Repeatable is set if the request may run again.
	Repeatable bool
	// Stream is set if the answer goes on to the caller as it comes.
	Stream bool
	// Attempts is the largest number of upstreams that it is sent to.
	Attempts int
	// Choice is the upstream of the first attempt.
	Choice *router.Choice
	// Next chooses another upstream than those named.
	Next func(tried []string) (*router.Choice, bool)
	// Again chooses the same upstream once more after it has refused the request
	// without running it; nil means never.
	Again func(upstream string) (*router.Choice, bool)
	// Lacks is told of an upstream that does not have what the request needs; nil
	// means that nobody is.
	Lacks func(upstream string)
	// Check returns a refusal once the request must not be sent any more.
	Check func() error
	// Begin delivers the status and header of the answer. Length is that of the
	// body, or negative if it is not known.
	Begin func(status int, header http.Header, length int64)
	// Write delivers a part of the answer and sends it off if it is a stream's.
	Write func(part []byte) error
}

// Route runs a routed request. It returns a *refuser.Refusal unless a whole
// answer was delivered.
func (f *Forwarder) Route(ctx context.Context, c *Routed) (Result, error) {
	run := &routing{
		forwarder: f,
		routed:    c,
	}
	err := run.run(ctx)
	return run.result, err
}

// dialTries is the number of upstreams that may turn out to be unreachable for
// one request.
const dialTries = 3

// routing is the work on one routed request.
type routing struct {
	forwarder *Forwarder
	routed    *Routed
	result    Result
	// ran is set once an attempt may have run.
	ran   bool
	tried []string
	// reached is the number of upstreams that bytes may have reached.
	reached int
	// again is set once a request went to the same upstream once more.
	again bool
	// failure is an upstream's own failure, which the caller gets if no other
	// upstream does better; nil if there was none.
	failure *whole
}

func (r *routing) run(ctx context.Context) error {
	choice := r.routed.Choice
	for {
		r.result.Attempts++
		r.result.Upstream = choice.Upstream
		failed := r.attempt(ctx, choice)
		choice.Done(routedHealth(failed))
		if failed == nil {
			return nil
		}
		r.ran = r.ran || !failed.unsent
		if !failed.unreached {
			r.reached++
		}
		r.explain(choice, failed)
		if failed.lacking && r.routed.Lacks != nil {
			r.routed.Lacks(choice.Upstream)
		}
		next, err := r.next(failed, choice)
		if next == nil {
			return r.give(failed, err)
		}
		choice = next
	}
}

// routedHealth is what an attempt says of its upstream: one that cannot be
// reached gets no other request for a while.
func routedHealth(failed *failure) router.Result {
	if failed != nil && failed.unreached && !failed.neutral {
		return router.Unreachable
	}
	return health(failed)
}

// next chooses the upstream of another attempt, or returns nil if there is
// none. The error is that of Check.
func (r *routing) next(failed *failure, last *router.Choice) (*router.Choice, error) {
	if failed.final || r.ran && !r.routed.Repeatable {
		return nil, nil
	}
	if err := r.routed.Check(); err != nil {
		return nil, err
	}
	if r.reached >= max(1, r.routed.Attempts) {
		return r.same(failed, last), nil
	}
	if len(r.tried) >= dialTries {
		return nil, nil
	}
	r.tried = append(r.tried, last.Upstream)
	next, ok := r.routed.Next(slices.Clone(r.tried))
	if !ok {
		return nil, nil
	}
	if !failed.unreached && !r.forwarder.config.Retry() {
		next.Done(router.Neutral)
		return nil, nil
	}
	return next, nil
}

// same sends a request to the upstream once more that has refused it without
// running it: it counts as one upstream, but as another arrival.
func (r *routing) same(failed *failure, last *router.Choice) *router.Choice {
	if !failed.lacking || r.again || r.routed.Again == nil {
		return nil
	}
	r.again = true
	choice, ok := r.routed.Again(last.Upstream)
	if !ok {
		return nil
	}
	if !r.forwarder.config.Retry() {
		choice.Done(router.Neutral)
		return nil
	}
	return choice
}

// give ends the request after its last attempt: with an upstream's own failure
// if there was one, else with a refusal.
func (r *routing) give(failed *failure, err error) error {
	if r.failure != nil && !failed.final {
		if failed = r.finish(r.failure); failed == nil {
			return nil
		}
	}
	if err != nil {
		return checkRefusal(err, r.ran)
	}
	return refusal(failed, r.ran)
}

// explain writes the line of a failed attempt.
func (r *routing) explain(choice *router.Choice, failed *failure) {
	if r.forwarder.config.Log == nil {
		return
	}
	r.forwarder.config.Log.WithFields(logrus.Fields{
		"request":  r.routed.Request,
		"upstream": choice.Upstream,
		"address":  choice.Address,
		"attempt":  r.result.Attempts,
		"status":   r.result.Status,
		"reused":   failed.reused,
		"unsent":   failed.unsent,
		"final":    failed.final,
		"detail":   failed.detail,
		"cause":    failed.cause,
	}).Info("request.attempt")
}

// attempt makes one attempt.
func (r *routing) attempt(ctx context.Context, choice *router.Choice) *failure {
	f, c := r.forwarder, r.routed
	a := &attempt{
		id: c.Identity,
	}
	r.result.Status = 0
	header := c.Header.Clone()
	stamp := c.Stamp
	stamp.Upstream = choice.Upstream
	if deadline, ok := ctx.Deadline(); ok {
		stamp.Left = deadline.Sub(f.config.Now())
	}
	f.config.Dialect.Stamp(header, stamp)
	response, err := f.send(ctx, a, &message{
		method:  c.Method,
		address: choice.Address,
		target:  c.Target,
		host:    c.Host,
		header:  header,
		body:    c.Body,
	})
	if err != nil {
		failed := f.unanswered(ctx, a, "the upstream did not answer", err)
		failed.unreached = failed.unsent
		failed.reused = a.reused
		return failed
	}
	defer func() { _ = response.Body.Close() }()
	r.result.Status = response.StatusCode
	reply := f.config.Dialect.Read(response.Header)
	if reply.Loaded {
		choice.Observe(reply.Busy, reply.Slots)
	}
	failed := r.judge(ctx, reply, response)
	if failed != nil {
		failed.reused = a.reused
	}
	return failed
}

// judge decides what to do with an answer.
func (r *routing) judge(ctx context.Context, reply Reply, response *http.Response) *failure {
	c := r.routed
	status := response.StatusCode
	switch {
	case reply.Request != "" && reply.Request != c.Identity:
		return &failure{
			code:   refuser.CodeUpstreamFailed,
			detail: "the upstream sent the answer of another request",
		}
	case reply.NotRun || status == http.StatusMisdirectedRequest:
		return &failure{
			code:    refuser.CodeNoUpstream,
			detail:  "the upstream refused the request without running it",
			unsent:  true,
			neutral: true,
			lacking: status == http.StatusMisdirectedRequest,
		}
	case status < http.StatusMultipleChoices && !reply.Receipt:
		return &failure{
			code:   refuser.CodeUpstreamFailed,
			detail: "the answer lacks its receipt",
		}
	case status >= http.StatusInternalServerError:
		return r.keep(ctx, response)
	}
	return r.relay(ctx, response)
}

// keep reads an upstream's own failure, which goes to the caller if no other
// attempt does better.
func (r *routing) keep(ctx context.Context, response *http.Response) *failure {
	answer, failed := readWhole(ctx, response)
	if failed != nil {
		return failed
	}
	if !r.routed.Repeatable || r.reached+1 >= r.routed.Attempts {
		return r.finish(answer)
	}
	r.failure = answer
	return &failure{
		code:    refuser.CodeUpstreamFailed,
		detail:  "the upstream failed",
		neutral: true,
	}
}

// relay delivers an answer: a stream as it comes, another one read up to
// answerBuffer first, so that the request can be repeated if it breaks.
func (r *routing) relay(ctx context.Context, response *http.Response) *failure {
	if r.routed.Stream {
		return r.stream(ctx, response)
	}
	answer, failed := readWhole(ctx, response)
	if failed != nil {
		return failed
	}
	return r.finish(answer)
}

func (r *routing) finish(answer *whole) *failure {
	r.routed.Begin(answer.status, answer.header, answer.length)
	return answer.deliver(r.forwarder.allowance(0), r.routed.Write)
}

// stream delivers an answer as it comes.
func (r *routing) stream(ctx context.Context, response *http.Response) *failure {
	buffer := streamBuffers.Get().(*[streamBuffer]byte)
	defer streamBuffers.Put(buffer)
	allowed := r.forwarder.allowance(r.forwarder.config.Event)
	begun := false
	for {
		n, err := response.Body.Read(buffer[:])
		if err := allowed.take(buffer[:n]); err != nil {
			return endless(err, begun)
		}
		if n > 0 && !begun {
			begun = true
			r.result.First = r.forwarder.config.Now()
			r.routed.Begin(response.StatusCode, answerHeaders(response.Header), response.ContentLength)
		}
		if n > 0 {
			if err := r.routed.Write(buffer[:n]); err != nil {
				return callerGone(err)
			}
		}
		if err == nil {
			continue
		}
		if failed := streamEnd(ctx, err, begun); failed != nil {
			return failed
		}
		if !begun {
			r.routed.Begin(response.StatusCode, answerHeaders(response.Header), response.ContentLength)
		}
		return nil
	}
}
