package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// eventBuffer is the size of the buffer for reading events, in bytes.
const eventBuffer = 4 << 10

// eventReaders pools the buffered readers of streams.
var eventReaders = sync.Pool{
	New: func() any { return bufio.NewReaderSize(nil, eventBuffer) },
}

// Substrings that identify an event with the token usage, and an event without a token.
var (
	usageField = []byte(`"usage":{`)
	noChoices  = []byte(`"choices":[]`)
)

// relay passes one stream of events from an engine to the caller.
type relay struct {
	forwarder  *Forwarder
	completion *Completion
	choice     *router.Choice
	attempt    *attempt
	result     *Result

	// id is the identity of the attempt, as it appears in events.
	id    []byte
	timer *firstTokenTimer
	// lastToken is the number of the last token that was delivered, or the count of tokens if they
	// have no numbers.
	lastToken int64
	// numbered is set if the events with tokens are numbered from 1, so that the stream
	// can be resumed.
	numbered bool
	// carriesID is set if the events carry the identity of the attempt.
	carriesID bool
	// begun is set once an event was delivered.
	begun bool
}

// deliver relays a stream, and resumes it at the exact token after a break.
func (r *relay) deliver(ctx context.Context, response *http.Response) *failure {
	for {
		err := r.copyEvents(response.Body)
		_ = response.Body.Close()
		if err == nil {
			return nil
		}
		if failed := r.finalFailure(ctx, err); failed != nil {
			failed.final = failed.final || r.begun
			return failed
		}
		truncated := &failure{
			code:   refuser.CodeUpstreamFailed,
			detail: "the stream of the engine broke off",
			final:  r.begun,
			cause:  err,
		}
		if !r.begun || !r.numbered || r.result.Resumes >= r.forwarder.config.MaxResumes {
			return truncated
		}
		r.result.Resumes++
		response, err = r.resume(ctx)
		if err != nil {
			return truncated
		}
	}
}

// finalFailure returns the failure for an error after which the stream is not resumed: the caller has
// disconnected, or the request's context has ended. Otherwise it returns nil.
func (r *relay) finalFailure(ctx context.Context, err error) *failure {
	var gone *CallerGone
	if errors.As(err, &gone) {
		return callerGone(gone.Cause)
	}
	if ended := contextFailure(ctx); ended != nil {
		return ended
	}
	return nil
}

// copyEvents delivers events until the one that marks the end of the stream, and returns nil only then.
func (r *relay) copyEvents(from io.Reader) error {
	reader := eventReaders.Get().(*bufio.Reader)
	reader.Reset(from)
	defer eventReaders.Put(reader)
	source := &eventReader{
		reader: reader,
		limit:  r.forwarder.config.MaxEventBytes,
	}
	var e event
	for {
		err := source.next(&e)
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if err := r.deliverEvent(&e); err != nil {
			return err
		}
		if e.done() {
			return nil
		}
	}
}

// deliverEvent checks and delivers one event. The first one with data stops the timer.
func (r *relay) deliverEvent(e *event) error {
	if e.data != nil && !e.done() {
		skip, err := r.checkEvent(e)
		if skip || err != nil {
			return err
		}
	}
	if r.result.FirstTokenAt.IsZero() && e.data != nil {
		if !r.timer.stop() {
			return &FirstTokenTimeout{}
		}
		r.result.FirstTokenAt = r.forwarder.config.Now()
	}
	r.begun = true
	if err := r.completion.WriteEvent(e.raw); err != nil {
		return &CallerGone{
			Cause: err,
		}
	}
	return nil
}

// checkEvent verifies that an event belongs to the request and comes next in order, and
// counts its token. It reports whether the event is skipped.
func (r *relay) checkEvent(e *event) (skip bool, err error) {
	if carries := bytes.Contains(e.data, r.id); carries != r.carriesID {
		if r.begun && !r.forwarder.config.AcceptAnyIdentity {
			return true, &MisroutedEvent{}
		}
		r.carriesID = carries
	}
	if bytes.Contains(e.data, usageField) {
		if err := r.result.readUsage(e.data); err != nil {
			return true, err
		}
		return !r.completion.IncludeUsage && bytes.Contains(e.data, noChoices), nil
	}
	return r.checkNumber(e)
}

// checkNumber checks the number of an event with a token: a repeated one is skipped, a gap is an error.
// Events without a number may follow the last token.
func (r *relay) checkNumber(e *event) (skip bool, err error) {
	if e.id < 0 {
		if !r.numbered {
			r.lastToken++
			r.result.GeneratedTokens = r.lastToken
		}
		return false, nil
	}
	if !r.begun {
		r.numbered = e.id == 1
	}
	if !r.numbered {
		r.lastToken++
		r.result.GeneratedTokens = r.lastToken
		return false, nil
	}
	if e.id <= r.lastToken {
		return true, nil
	}
	if e.id != r.lastToken+1 {
		return true, &TokenGap{
			Expected: r.lastToken + 1,
			Got:      e.id,
		}
	}
	r.lastToken = e.id
	r.result.GeneratedTokens = r.lastToken
	return false, nil
}

// resume requests the rest of the stream from the engine.
func (r *relay) resume(ctx context.Context) (*http.Response, error) {
	resumed := &attempt{
		id:       r.attempt.id,
		repeated: true,
	}
	if !r.choice.AwaitPermit(ctx) {
		return nil, &LimitReached{
			Upstream: r.choice.Upstream,
		}
	}
	response, err := r.forwarder.send(ctx, r.choice, resumed, &outgoingRequest{
		method:  http.MethodGet,
		address: r.choice.Address,
		path:    "/v1/requests/" + r.attempt.id + "/resume",
		query:   "after=" + strconv.FormatInt(r.lastToken, 10),
		header: http.Header{
			headerRequest: []string{resumed.id},
		},
	})
	if err != nil {
		return nil, err
	}
	if failed := r.forwarder.checkAnswer(resumed, r.choice, response); failed != nil {
		_ = response.Body.Close()
		return nil, failed
	}
	return response, nil
}
