package server

import (
	"errors"
	"io"
	"net/http"
	"os"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

const (
	// initialBodyBuffer is the size of the first buffer for a body of unknown length, in bytes.
	initialBodyBuffer = 4 << 10
	// maxTimeout caps the time until the deadline that a caller can request.
	maxTimeout = 48 * time.Hour
	// busyRetryDelay is the retry delay given to callers when the instance has no room or is starting.
	busyRetryDelay = time.Second
)

// validate refuses requests whose header is too large or whose path is not canonical. It refuses every request while
// the configuration is not known.
func (s *Server) validate(r *http.Request) *refuser.Refusal {
	headerBytes := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			headerBytes += len(name) + len(value) + len(": \r\n")
		}
	}
	if headerBytes > s.config.Headers {
		return newRefusal(refuser.CodeTooLarge, "the header is larger than "+strconv.Itoa(s.config.Headers)+" bytes")
	}
	if clean := path.Clean(r.URL.Path); clean != r.URL.Path && clean != strings.TrimSuffix(r.URL.Path, "/") {
		return newRefusal(refuser.CodeBadRequest, "the path is not in its shortest form")
	}
	if !s.config.Known() {
		return s.startingRefusal()
	}
	return nil
}

// startingRefusal returns the refusal for requests that arrive before the configuration is known: a valid key or model
// would otherwise be reported as unknown.
func (s *Server) startingRefusal() *refuser.Refusal {
	refusal := newRefusal(refuser.CodeStarting, "the instance does not know the configuration yet")
	refusal.RetryAt = s.config.Now().Add(busyRetryDelay)
	return refusal
}

// parseDeadline reads the deadline and the priority class of a request from its header. X-Deadline takes precedence
// over X-Timeout, and both over the default of the class.
func (s *Server) parseDeadline(header http.Header, now time.Time) (time.Time, queuer.Class, *refuser.Refusal) {
	class := queuer.Interactive
	timeout := s.config.Timeout
	switch header.Get("X-Priority") {
	case "", string(queuer.Interactive):
	case string(queuer.Overnight):
		class = queuer.Overnight
		timeout = s.config.Overnight
	default:
		return now, class, newRefusal(refuser.CodeBadRequest, "X-Priority must be interactive or overnight")
	}
	deadline := now.Add(timeout)
	if text := header.Get("X-Timeout"); text != "" {
		given, ok := parseDuration(text)
		if !ok {
			return now, class, newRefusal(refuser.CodeBadRequest, `X-Timeout must be a positive span as in "1.5s"`)
		}
		deadline = now.Add(given)
	}
	if text := header.Get("X-Deadline"); text != "" {
		given, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return now, class, newRefusal(refuser.CodeBadRequest, "X-Deadline must be a time of RFC 3339")
		}
		deadline = given
	}
	if !deadline.After(now) {
		return now, class, newRefusal(refuser.CodeDeadline, "the deadline has passed")
	}
	if deadline.Sub(now) > maxTimeout {
		deadline = now.Add(maxTimeout)
	}
	return deadline, class, nil
}

// parseDuration parses a positive duration as in "1.5s", or a number of seconds.
func parseDuration(text string) (time.Duration, bool) {
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		text = strconv.FormatFloat(seconds, 'f', -1, 64) + "s"
	}
	duration, err := time.ParseDuration(text)
	return duration, err == nil && duration > 0
}

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
	limit := e.server.config.Body
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
// exceed Config.Bodies.
func (e *exchange) reserveMemory(size int64) *refuser.Refusal {
	if e.server.bodyMemory.Add(size) > e.server.config.Bodies {
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
	return newRefusal(refuser.CodeTooLarge, "the body is larger than "+strconv.FormatInt(e.server.config.Body, 10)+" bytes")
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
