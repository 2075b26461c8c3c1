package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// Route sends a routed request to upstreams until one answers or no further attempt is allowed. It
// returns a *refuser.Refusal unless a complete answer was delivered.
func (f *Forwarder) Route(ctx context.Context, c *RoutedRequest) (Result, error) {
	r := &routing{
		forwarder: f,
		routed:    c,
	}
	err := r.run(ctx)
	return r.result, err
}

// maxFallbacks is the maximum number of upstreams besides the first that one request is tried on.
// It also bounds attempts on unreachable upstreams, which do not count against
// RoutedRequest.MaxAttempts.
const maxFallbacks = 3

// routing is the state of one routed request across its attempts.
type routing struct {
	forwarder *Forwarder
	routed    *RoutedRequest
	result    Result
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
	// tried lists the upstreams that failed and were replaced by another one.
	tried []string
	// sentAttempts is the number of attempts that may have sent bytes to an upstream. Where RoutedRequest.Await is set, those
	// that the upstream stated not to have run do not count.
	sentAttempts int
	// reached lists the addresses that an attempt may have reached.
	reached []netip.AddrPort
	// resent is set once chooseSame was used, which happens at most once per request.
	resent bool
	// errorAnswer is an upstream's own error answer (status 500 and up), which is delivered if no other
	// upstream gives a complete answer; nil if there was none.
	errorAnswer *bufferedAnswer
	// version is the software version of the upstream of the last attempt.
	version string
	// sentAt is when the last attempt was sent.
	sentAt time.Time
	// firstByteAt is when the first byte of the body of the last attempt's stream arrived, or the head of another answer;
	// zero if none did.
	firstByteAt time.Time
	// reportedBegun is set once the last attempt's answer was reported to have begun.
	reportedBegun bool
	// undelimited is set if only the end of its connection ended the last attempt's answer.
	undelimited bool
}

// run makes attempts until one succeeds or no further one is allowed.
func (r *routing) run(ctx context.Context) error {
	choice := r.routed.Choice
	for {
		r.result.Attempts++
		r.result.Upstream = choice.Upstream
		failed := r.attempt(ctx, choice)
		choice.Done(routedHealth(failed))
		if failed == nil {
			r.reportEnd(choice)
			return nil
		}
		r.mayHaveRun = r.mayHaveRun || !failed.unsent
		if !failed.unreached && !r.awaits(failed) {
			r.sentAttempts++
		}
		r.logFailure(choice, failed)
		r.reportBroken(choice, failed)
		if (failed.notLoaded || failed.unloading && r.awaits(failed)) && r.routed.ReportNotLoaded != nil {
			r.routed.ReportNotLoaded(choice.Upstream)
		}
		next, err := r.chooseNext(ctx, failed, choice)
		if next == nil {
			return r.finishFailed(failed, err)
		}
		choice = next
	}
}

// routedHealth returns what an attempt says about the health of its upstream. A single failure to
// connect opens the upstream's circuit.
func routedHealth(failed *failure) router.Result {
	if failed != nil && failed.unreached && !failed.neutral {
		return router.Unreachable
	}
	return health(failed)
}

// chooseNext acquires a slot for another attempt, or returns nil if there is none. It returns the
// error of Check if the request must not be sent any more.
func (r *routing) chooseNext(ctx context.Context, failed *failure, last *router.Choice) (*router.Choice, error) {
	if failed.final || r.mayHaveRun && !r.routed.Repeatable {
		return nil, nil
	}
	if err := r.routed.Check(); err != nil {
		return nil, err
	}
	if r.sentAttempts >= max(1, r.routed.MaxAttempts) {
		return r.chooseSame(failed, last), nil
	}
	if len(r.tried) >= maxFallbacks {
		return nil, nil
	}
	r.tried = append(r.tried, last.Upstream)
	next, ok := r.routed.PickNext(slices.Clone(r.tried))
	if !ok {
		return r.awaitNext(ctx, failed, last)
	}
	if !failed.unreached && !r.forwarder.config.Retry() {
		next.Done(router.Neutral)
		return nil, nil
	}
	return next, nil
}

// awaits reports whether a request may wait for another upstream after a failed attempt, because that has not run.
func (r *routing) awaits(failed *failure) bool { return failed.refused && r.routed.Await != nil }

// awaitNext waits for an upstream after one stated that it did not run the request and no other can run it now.
func (r *routing) awaitNext(ctx context.Context, failed *failure, last *router.Choice) (*router.Choice, error) {
	if !r.awaits(failed) {
		return nil, nil
	}
	if next := r.chooseSame(failed, last); next != nil {
		return next, nil
	}
	if !r.forwarder.config.Retry() {
		return nil, nil
	}
	return r.routed.Await(ctx)
}

// chooseSame chooses the last upstream again after it refused the request for lack of an adapter,
// without running it. This does not count against the number of upstreams allowed, but the request
// arrives there twice, so it takes a retry from the budget and happens at most once per request.
// chooseSame returns nil if the request is not sent again.
func (r *routing) chooseSame(failed *failure, last *router.Choice) *router.Choice {
	if !failed.notLoaded || r.resent || r.routed.Reacquire == nil {
		return nil
	}
	r.resent = true
	choice, ok := r.routed.Reacquire(last.Upstream)
	if !ok {
		return nil
	}
	if !r.forwarder.config.Retry() {
		choice.Done(router.Neutral)
		return nil
	}
	return choice
}

// finishFailed ends the request after its last failed attempt: it delivers an upstream's
// own error answer if there was one, else it returns a refusal.
func (r *routing) finishFailed(failed *failure, err error) error {
	if r.errorAnswer != nil && !failed.final {
		if failed = r.deliverBuffered(r.errorAnswer); failed == nil {
			return nil
		}
	}
	if err != nil {
		return checkRefusal(err, r.mayHaveRun)
	}
	return refusal(failed, r.mayHaveRun)
}

// logFailure logs a failed attempt, if logging is enabled.
func (r *routing) logFailure(choice *router.Choice, failed *failure) {
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
		"begun":    r.sinceFirstByte(),
		"final":    failed.final,
		"detail":   failed.detail,
		"cause":    failed.cause,
	}).Info("request.attempt")
}

// sinceFirstByte returns the time since the first byte of the last attempt's answer, or zero if there was none.
func (r *routing) sinceFirstByte() time.Duration {
	if r.firstByteAt.IsZero() {
		return 0
	}
	return r.forwarder.config.Now().Sub(r.firstByteAt)
}

// attempt makes one attempt.
func (r *routing) attempt(ctx context.Context, choice *router.Choice) *failure {
	f, c := r.forwarder, r.routed
	if choice.Unwanted() {
		return unwantedFailure()
	}
	a := &attempt{
		id:       c.Identity,
		repeated: r.result.Attempts > 1,
		// The answer to an earlier attempt may come once more on the connection that it came on, with the same identity.
		newConnection: slices.Contains(r.reached, choice.Address),
	}
	r.result.Status = 0
	r.firstByteAt, r.reportedBegun, r.undelimited = time.Time{}, false, false
	header := c.Header.Clone()
	metadata := c.Metadata
	metadata.Upstream = choice.Upstream
	if deadline, ok := ctx.Deadline(); ok {
		metadata.TimeLeft = deadline.Sub(f.config.Now())
	}
	f.config.Dialect.WriteRequest(header, metadata)
	r.sentAt, r.version = f.config.Now(), choice.Version
	response, err := f.send(ctx, choice, a, &outgoingRequest{
		method:  c.Method,
		address: choice.Address,
		target:  c.Target,
		host:    c.Host,
		header:  header,
		body:    c.Body,
	})
	if err != nil {
		failed := f.roundTripFailure(ctx, a, "the upstream did not answer", err)
		failed.unreached = failed.unsent
		failed.reused = a.reused
		if !failed.unreached {
			r.reached = append(r.reached, choice.Address)
		}
		return failed
	}
	r.reached = append(r.reached, choice.Address)
	defer func() { _ = response.Body.Close() }()
	r.result.Status = response.StatusCode
	r.undelimited = !delimited(response)
	if !c.Stream {
		r.firstByteAt = f.config.Now()
	}
	failed := r.handleAnswer(ctx, a, response)
	if failed != nil {
		failed.reused = a.reused
	}
	return failed
}

// handleAnswer delivers an answer, or returns the failure that it represents: the answer
// to another request, a refusal without running, one without a receipt, a promise that
// is not known to be true, or an upstream's own error.
func (r *routing) handleAnswer(ctx context.Context, a *attempt, response *http.Response) *failure {
	c := r.routed
	metadata := a.answer
	status := response.StatusCode
	statesNotRun := metadata.NotRun || status == http.StatusMisdirectedRequest
	switch {
	case metadata.RequestID != "" && metadata.RequestID != c.Identity:
		a.closeConnection()
		return &failure{
			code:   refuser.CodeUpstreamFailed,
			detail: "the upstream sent the answer of another request",
		}
	case statesNotRun && metadata.RequestID == "" && a.reused:
		a.closeConnection()
		return &failure{
			code:   refuser.CodeUpstreamFailed,
			detail: "the upstream sent a refusal that may be that of an earlier request",
		}
	case statesNotRun:
		return refusedFailure(metadata, response)
	case status < http.StatusMultipleChoices && !metadata.Receipt:
		return &failure{
			code:   refuser.CodeUpstreamFailed,
			detail: "the answer lacks its receipt",
		}
	case status >= http.StatusInternalServerError || refuser.PromisesNotRun(status):
		return r.keepErrorAnswer(ctx, response)
	}
	return r.relay(ctx, response)
}

// keepErrorAnswer reads an upstream's own error answer. It delivers the answer if no further attempt
// is allowed, else keeps it in case no other attempt succeeds. An answer with a promise that is not known
// to be true is neither delivered nor kept.
func (r *routing) keepErrorAnswer(ctx context.Context, response *http.Response) *failure {
	answer, failed := readAnswer(ctx, response)
	if failed != nil {
		return failed
	}
	if failed := r.forwarder.checkPromise(r.routed.Request, r.result.Upstream, answer.status); failed != nil {
		return failed
	}
	if !r.routed.Repeatable || r.sentAttempts+1 >= r.routed.MaxAttempts {
		return r.deliverBuffered(answer)
	}
	r.errorAnswer = answer
	return &failure{
		code:    refuser.CodeUpstreamFailed,
		detail:  "the upstream failed",
		neutral: true,
	}
}

// relay delivers an answer. A stream is passed on as it arrives; any other answer is first read up to
// answerBuffer, so that the request can be retried if the answer breaks off before that.
func (r *routing) relay(ctx context.Context, response *http.Response) *failure {
	if r.routed.Stream {
		return r.stream(ctx, response)
	}
	answer, failed := readAnswer(ctx, response)
	if failed != nil {
		return failed
	}
	return r.deliverBuffered(answer)
}

// deliverBuffered delivers an answer that was read up to answerBuffer.
func (r *routing) deliverBuffered(answer *bufferedAnswer) *failure {
	r.routed.Begin(answer.status, answer.header, answer.length)
	return answer.deliver(r.forwarder.newAnswerLimit(0), r.routed.Write)
}

// stream delivers an answer as it arrives, within the limits of size and line length. A stream of events that ends inside an
// event has broken off.
func (r *routing) stream(ctx context.Context, response *http.Response) *failure {
	buffer := streamBuffers.Get().(*[streamBuffer]byte)
	defer streamBuffers.Put(buffer)
	limit := r.forwarder.newAnswerLimit(r.forwarder.config.MaxEventBytes)
	begun := false
	end := newEventEnd(response)
	for {
		n, err := response.Body.Read(buffer[:])
		if err := limit.count(buffer[:n]); err != nil {
			return limitExceeded(err, begun)
		}
		if n > 0 && !begun {
			begun = true
			r.firstByteAt = r.forwarder.config.Now()
			r.result.FirstTokenAt = r.firstByteAt
			if r.routed.ReportStream != nil {
				r.routed.ReportStream(r.version)
			}
			r.routed.Begin(response.StatusCode, answerHeaders(response.Header), response.ContentLength)
		}
		end.add(buffer[:n])
		if err := r.passOn(buffer[:n]); err != nil {
			return callerGone(err)
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && !end.complete() {
			err = io.ErrUnexpectedEOF
		}
		if failed := streamFailure(ctx, err, begun); failed != nil {
			return failed
		}
		if !begun {
			r.routed.Begin(response.StatusCode, answerHeaders(response.Header), response.ContentLength)
		}
		return nil
	}
}

// passOn delivers a part of a stream, and reports that the stream goes on once it has for a while.
func (r *routing) passOn(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	if err := r.routed.Write(part); err != nil {
		return err
	}
	if r.sinceFirstByte() >= begunAfter {
		r.reportBegun()
	}
	return nil
}
