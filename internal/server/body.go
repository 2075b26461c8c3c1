package server

import (
	"errors"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// readBody reads the request body within the size limits and by the read deadline that begin set. If reading fails, the
// deadline stays set, so that net/http does not wait for the rest of the body.
func (e *exchange) readBody() *refuser.Refusal {
	if refusal := e.readBodyLimited(); refusal != nil {
		return refusal
	}
	e.bodyRead = true
	_ = e.control.SetReadDeadline(time.Time{})
	return nil
}

// readBodyLimited reads the body into memory that it reserves from the limit of all bodies. A body of unknown length
// starts with a small buffer that doubles as needed.
func (e *exchange) readBodyLimited() *refuser.Refusal {
	limit := e.server.config.MaxBodyBytes
	if e.request.ContentLength > limit {
		return e.bodyTooLarge()
	}
	size := max(e.request.ContentLength, 0)
	if size == 0 && e.request.ContentLength < 0 {
		size = initialBodyBuffer
	}
	if refusal := e.reserveMemory(size); refusal != nil {
		return refusal
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			if e.request.ContentLength >= 0 {
				e.body = body
				return e.checkBodyEnd()
			}
			if refusal := e.reserveMemory(int64(cap(body))); refusal != nil {
				return refusal
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
		n, err := e.request.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > limit {
			return e.bodyTooLarge()
		}
		if errors.Is(err, io.EOF) {
			e.body = body
			return nil
		}
		if err != nil {
			return e.bodyIncomplete(err)
		}
	}
}

// checkBodyEnd reads the end of a body of known length, so that trailers are consumed and the connection can be reused.
func (e *exchange) checkBodyEnd() *refuser.Refusal {
	var rest [1]byte
	n, err := e.request.Body.Read(rest[:])
	if n > 0 || err != nil && !errors.Is(err, io.EOF) {
		return e.bodyIncomplete(err)
	}
	return nil
}

// reserveMemory reserves memory for the body until the end of the request, or refuses if all bodies together would
// exceed Config.BodyMemoryBytes.
func (e *exchange) reserveMemory(size int64) *refuser.Refusal {
	if e.server.bodyMemory.Add(size) > e.server.config.BodyMemoryBytes {
		e.server.bodyMemory.Add(-size)
		e.closeConnection()
		refusal := newRefusal(refuser.CodeBusy, "too many large requests run")
		refusal.RetryAt = e.server.config.Now().Add(busyRetryDelay)
		return refusal
	}
	e.bodyBytes += size
	return nil
}

// bodyTooLarge returns the refusal for a body over the size limit.
func (e *exchange) bodyTooLarge() *refuser.Refusal {
	e.closeConnection()
	return newRefusal(refuser.CodeTooLarge, "the body is larger than "+strconv.FormatInt(e.server.config.MaxBodyBytes, 10)+" bytes")
}

// bodyIncomplete returns the refusal for a body that could not be read to its end.
func (e *exchange) bodyIncomplete(err error) *refuser.Refusal {
	e.closeConnection()
	detail := "the body did not arrive whole"
	if errors.Is(err, os.ErrDeadlineExceeded) {
		detail = "the body was not sent in time"
	}
	refusal := newRefusal(refuser.CodeBadRequest, detail)
	refusal.Cause = err
	return refusal
}

// closeConnection makes net/http close the connection after the response, because the body was not read.
func (e *exchange) closeConnection() { e.writer.Header().Set("Connection", "close") }
