package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
)

const (
	// answerBuffer is how much of an answer is read before delivery begins, in bytes;
	// the request can still be retried if the answer breaks before that.
	answerBuffer = 64 << 10
	// streamBuffer is the maximum size of a part of a stream that is written at once, in bytes.
	streamBuffer = 16 << 10
)

// streamBuffers pools buffers for streams and long answers.
var streamBuffers = sync.Pool{
	New: func() any { return new([streamBuffer]byte) },
}

// bufferedAnswer is an answer whose body was read completely, or up to answerBuffer if it is longer.
type bufferedAnswer struct {
	ctx    context.Context
	status int
	header http.Header
	// length is the stated length of the body, in bytes, or negative if it is not known.
	length int64
	// body is the part that was read.
	body []byte
	// unread is the remainder of the body; nil if there is none.
	unread io.Reader
}

// readAnswer reads the body of an answer up to answerBuffer.
func readAnswer(ctx context.Context, response *http.Response) (*bufferedAnswer, *failure) {
	answer := &bufferedAnswer{
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
		return nil, truncatedAnswer(ctx, err, false)
	}
	answer.unread = response.Body
	return answer, nil
}

// deliver writes the body to the caller, within the limits.
func (a *bufferedAnswer) deliver(limit *answerLimit, write func(part []byte) error) *failure {
	if err := limit.count(a.body); err != nil {
		return limitExceeded(err, false)
	}
	if err := write(a.body); err != nil {
		return callerGone(err)
	}
	if a.unread == nil {
		return nil
	}
	buffer := streamBuffers.Get().(*[streamBuffer]byte)
	defer streamBuffers.Put(buffer)
	for {
		n, err := a.unread.Read(buffer[:])
		if err := limit.count(buffer[:n]); err != nil {
			return limitExceeded(err, true)
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
			return truncatedAnswer(a.ctx, err, true)
		}
	}
}

// streamFailure returns the failure of a stream that ended with an error, or nil if it
// ended properly.
func streamFailure(ctx context.Context, err error, begun bool) *failure {
	if errors.Is(err, io.EOF) {
		return nil
	}
	failed := truncatedAnswer(ctx, err, begun)
	failed.final = failed.final || begun
	return failed
}
