package server

import (
	"net/http"
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
	if headerBytes > s.config.MaxHeaderBytes {
		return newRefusal(refuser.CodeTooLarge, "the header is larger than "+strconv.Itoa(s.config.MaxHeaderBytes)+" bytes")
	}
	if clean := path.Clean(r.URL.Path); clean != r.URL.Path && clean != strings.TrimSuffix(r.URL.Path, "/") {
		return newRefusal(refuser.CodeBadRequest, "the path is not in its shortest form")
	}
	if !s.config.ConfigReady() {
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
	timeout := s.config.InteractiveTimeout
	switch header.Get("X-Priority") {
	case "", string(queuer.Interactive):
	case string(queuer.Overnight):
		class = queuer.Overnight
		timeout = s.config.OvernightTimeout
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
