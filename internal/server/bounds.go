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
	// bodyStep is the first buffer of a body of unknown length, in bytes.
	bodyStep = 4 << 10
	// longest is the longest time that a caller may ask for.
	longest = 48 * time.Hour
	// busyDelay is when a request that found no room may come again.
	busyDelay = time.Second
)

// bound refuses requests whose header or path is out of bounds, and all while
// the configuration is not known.
func (s *Server) bound(r *http.Request) *refuser.Refusal {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	if size > s.config.Headers {
		return refuse(refuser.CodeTooLarge, "the header is larger than "+strconv.Itoa(s.config.Headers)+" bytes")
	}
	if clean := path.Clean(r.URL.Path); clean != r.URL.Path && clean != strings.TrimSuffix(r.URL.Path, "/") {
		return refuse(refuser.CodeBadRequest, "the path is not in its shortest form")
	}
	if !s.config.Known() {
		return s.starting()
	}
	return nil
}

// starting refuses a request while the configuration is not known: neither its
// key nor its model can be judged truthfully.
func (s *Server) starting() *refuser.Refusal {
	refused := refuse(refuser.CodeStarting, "the instance does not know the configuration yet")
	refused.RetryAt = s.config.Now().Add(busyDelay)
	return refused
}

// deadline reads until when a caller waits, and the class of its request.
func (s *Server) deadline(header http.Header, now time.Time) (time.Time, queuer.Class, *refuser.Refusal) {
	class := queuer.Interactive
	span := s.config.Timeout
	switch header.Get("X-Priority") {
	case "", string(queuer.Interactive):
	case string(queuer.Overnight):
		class = queuer.Overnight
		span = s.config.Overnight
	default:
		return now, class, refuse(refuser.CodeBadRequest, "X-Priority must be interactive or overnight")
	}
	deadline := now.Add(span)
	if text := header.Get("X-Timeout"); text != "" {
		given, ok := parseSpan(text)
		if !ok {
			return now, class, refuse(refuser.CodeBadRequest, `X-Timeout must be a positive span as in "1.5s"`)
		}
		deadline = now.Add(given)
	}
	if text := header.Get("X-Deadline"); text != "" {
		given, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return now, class, refuse(refuser.CodeBadRequest, "X-Deadline must be a time of RFC 3339")
		}
		deadline = given
	}
	if !deadline.After(now) {
		return now, class, refuse(refuser.CodeDeadline, "the deadline has passed")
	}
	if deadline.Sub(now) > longest {
		deadline = now.Add(longest)
	}
	return deadline, class, nil
}

// parseSpan reads a span as in "1.5s", or a number of seconds.
func parseSpan(text string) (time.Duration, bool) {
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		text = strconv.FormatFloat(seconds, 'f', -1, 64) + "s"
	}
	span, err := time.ParseDuration(text)
	return span, err == nil && span > 0
}

// read reads the body within the bounds of one and of all bodies, and by the
// time that begin set. If it does not come, the time stays set, so that
// net/http does not wait for the rest.
func (p *passage) read() *refuser.Refusal {
	if refused := p.readBody(); refused != nil {
		return refused
	}
	p.taken = true
	_ = p.control.SetReadDeadline(time.Time{})
	return nil
}

func (p *passage) readBody() *refuser.Refusal {
	limit := p.server.config.Body
	if p.request.ContentLength > limit {
		return p.tooLarge()
	}
	size := max(p.request.ContentLength, 0)
	if size == 0 && p.request.ContentLength < 0 {
		size = bodyStep
	}
	if refused := p.hold(size); refused != nil {
		return refused
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			if p.request.ContentLength >= 0 {
				p.body = body
				return p.drained()
			}
			if refused := p.hold(int64(cap(body))); refused != nil {
				return refused
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
		n, err := p.request.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > limit {
			return p.tooLarge()
		}
		if errors.Is(err, io.EOF) {
			p.body = body
			return nil
		}
		if err != nil {
			return p.unread(err)
		}
	}
}

// drained reads the end of a body of known length, so that the connection can
// be used again and trailers are taken off it.
func (p *passage) drained() *refuser.Refusal {
	var rest [1]byte
	n, err := p.request.Body.Read(rest[:])
	if n > 0 || err != nil && !errors.Is(err, io.EOF) {
		return p.unread(err)
	}
	return nil
}

// hold takes memory for a body until the end of the request.
func (p *passage) hold(size int64) *refuser.Refusal {
	if p.server.bodies.Add(size) > p.server.config.Bodies {
		p.server.bodies.Add(-size)
		p.closing()
		refused := refuse(refuser.CodeBusy, "too many large requests run")
		refused.RetryAt = p.server.config.Now().Add(busyDelay)
		return refused
	}
	p.memory += size
	return nil
}

func (p *passage) tooLarge() *refuser.Refusal {
	p.closing()
	return refuse(refuser.CodeTooLarge, "the body is larger than "+strconv.FormatInt(p.server.config.Body, 10)+" bytes")
}

// unread is the refusal of a body that did not come whole.
func (p *passage) unread(err error) *refuser.Refusal {
	p.closing()
	detail := "the body did not arrive whole"
	if errors.Is(err, os.ErrDeadlineExceeded) {
		detail = "the body was not sent in time"
	}
	refused := refuse(refuser.CodeBadRequest, detail)
	refused.Cause = err
	return refused
}

// closing ends the connection after the answer, as the body was not read.
func (p *passage) closing() { p.writer.Header().Set("Connection", "close") }
