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

// eventBuffer is the buffer for reading events, in bytes.
const eventBuffer = 4 << 10

var readers = sync.Pool{
	New: func() any { return bufio.NewReaderSize(nil, eventBuffer) },
}

var (
	usageField = []byte(`"usage":{`)
	noChoices  = []byte(`"choices":[]`)
)

// relay carries one stream to its caller.
type relay struct {
	forwarder  *Forwarder
	completion *Completion
	choice     *router.Choice
	attempt    *attempt
	result     *Result

	// id is the identity of the attempt.
	id       []byte
	patience *patience
	// at is the number of the last token that was delivered.
	at int64
	// numbered is set if every event with a token had the next number.
	numbered bool
	// named is set if the events carry the identity of the request.
	named bool
	// begun is set once an event was delivered.
	begun bool
}

// deliver relays a stream, and resumes it at the exact token if it breaks.
func (r *relay) deliver(ctx context.Context, response *http.Response) *failure {
	for {
		err := r.copy(response.Body)
		_ = response.Body.Close()
		if err == nil {
			return nil
		}
		if failed := r.fatal(ctx, err); failed != nil {
			failed.final = failed.final || r.begun
			return failed
		}
		broken := &failure{
			code:   refuser.CodeUpstreamFailed,
			detail: "the stream of the engine broke off",
			final:  r.begun,
			cause:  err,
		}
		if !r.begun || !r.numbered || r.result.Resumes >= r.forwarder.config.Resumes {
			return broken
		}
		r.result.Resumes++
		response, err = r.resume(ctx)
		if err != nil {
			return broken
		}
	}
}

// fatal returns the failure of an error that no resume can mend.
func (r *relay) fatal(ctx context.Context, err error) *failure {
	var gone *CallerGone
	if errors.As(err, &gone) {
		return callerGone(gone.Cause)
	}
	if ended := interrupted(ctx); ended != nil {
		return ended
	}
	return nil
}

// copy delivers events until the stream's own end, and returns nil only then.
func (r *relay) copy(from io.Reader) error {
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(from)
	defer readers.Put(reader)
	source := &events{
		reader: reader,
		limit:  r.forwarder.config.Event,
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
		if err := r.event(&e); err != nil {
			return err
		}
		if e.done() {
			return nil
		}
	}
}

// event checks and delivers one event.
func (r *relay) event(e *event) error {
	if e.data != nil && !e.done() {
		skip, err := r.check(e)
		if skip || err != nil {
			return err
		}
	}
	if r.result.First.IsZero() && e.data != nil {
		if !r.patience.met() {
			return &Silent{}
		}
		r.result.First = r.forwarder.config.Now()
	}
	r.begun = true
	if err := r.completion.Event(e.raw); err != nil {
		return &CallerGone{
			Cause: err,
		}
	}
	return nil
}

// check binds an event to its request and place, and counts its tokens. It
// tells whether the event is to be left out.
func (r *relay) check(e *event) (skip bool, err error) {
	if named := bytes.Contains(e.data, r.id); named != r.named {
		if r.begun && !r.forwarder.config.Trust {
			return true, &Crossed{}
		}
		r.named = named
	}
	if bytes.Contains(e.data, usageField) {
		if err := r.result.count(e.data); err != nil {
			return true, err
		}
		return !r.completion.Usage && bytes.Contains(e.data, noChoices), nil
	}
	return r.number(e)
}

// number checks the number of an event with a token. Events without a number
// can follow the last token.
func (r *relay) number(e *event) (skip bool, err error) {
	if e.id < 0 {
		if !r.numbered {
			r.at++
			r.result.Generated = r.at
		}
		return false, nil
	}
	if !r.begun {
		r.numbered = e.id == 1
	}
	if !r.numbered {
		r.at++
		r.result.Generated = r.at
		return false, nil
	}
	if e.id <= r.at {
		return true, nil
	}
	if e.id != r.at+1 {
		return true, &Gap{
			Expected: r.at + 1,
			Got:      e.id,
		}
	}
	r.at = e.id
	r.result.Generated = r.at
	return false, nil
}

// resume asks the engine for the rest of the stream.
func (r *relay) resume(ctx context.Context) (*http.Response, error) {
	again := &attempt{
		id: r.attempt.id,
	}
	response, err := r.forwarder.send(ctx, again, &message{
		method:  http.MethodGet,
		address: r.choice.Address,
		path:    "/v1/requests/" + r.attempt.id + "/resume",
		query:   "after=" + strconv.FormatInt(r.at, 10),
		header: http.Header{
			headerRequest: []string{again.id},
		},
	})
	if err != nil {
		return nil, err
	}
	if failed := r.forwarder.examine(again, r.choice, response); failed != nil {
		_ = response.Body.Close()
		return nil, failed
	}
	return response, nil
}
