package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
)

const (
	// answerBuffer is how much of an answer is read before it is delivered, so that
	// the request can be repeated if it breaks, in bytes.
	answerBuffer = 64 << 10
	// streamBuffer is the largest part of a stream that is passed on at once, in bytes.
	streamBuffer = 16 << 10
)

var streamBuffers = sync.Pool{
	New: func() any { return new([streamBuffer]byte) },
}

// whole is an answer that has come, or the beginning of a long one with the
// body that the rest is read from.
type whole struct {
	ctx    context.Context
	status int
	header http.Header
	length int64
	body   []byte
	rest   io.Reader
}

// readWhole reads an answer, a long one up to answerBuffer.
func readWhole(ctx context.Context, response *http.Response) (*whole, *failure) {
	answer := &whole{
		ctx:    ctx,
		status: response.StatusCode,
		header: answerHeaders(response.Header),
		length: response.ContentLength,
	}
	body, err := readUpTo(response.Body, nil, answerBuffer)
	answer.body = body
	if errors.Is(err, io.EOF) {
		return answer, nil
	}
	if err != nil {
		return nil, broken(ctx, err, false)
	}
	answer.rest = response.Body
	return answer, nil
}

// deliver passes the body on, as far as is allowed.
func (w *whole) deliver(allowed *allowance, write func(part []byte) error) *failure {
	if err := allowed.take(w.body); err != nil {
		return endless(err, false)
	}
	if err := write(w.body); err != nil {
		return callerGone(err)
	}
	if w.rest == nil {
		return nil
	}
	buffer := streamBuffers.Get().(*[streamBuffer]byte)
	defer streamBuffers.Put(buffer)
	for {
		n, err := w.rest.Read(buffer[:])
		if err := allowed.take(buffer[:n]); err != nil {
			return endless(err, true)
		}
		if n > 0 {
			if err := write(buffer[:n]); err != nil {
				return callerGone(err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return broken(w.ctx, err, true)
		}
	}
}

// streamEnd is the failure of a stream that ended with an error, or nil if it
// ended whole.
func streamEnd(ctx context.Context, err error, begun bool) *failure {
	if errors.Is(err, io.EOF) {
		return nil
	}
	failed := broken(ctx, err, begun)
	failed.final = failed.final || begun
	return failed
}
