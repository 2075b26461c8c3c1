package server

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/internal/router"
)

// Facts are what the header of a routed request tells of it.
type Facts struct {
	// Identity is the identity of the request as it came; answers carry it.
	Identity string
	// Model is the model that it asks for; empty if it asks for none.
	Model string
	// Adapter is the adapter of the model; empty if it asks for none.
	Adapter string
	// Counted is set if Prompt and Answer are told.
	Counted bool
	// Prompt is the length of the prompt, in tokens.
	Prompt int64
	// Answer is the longest answer, in tokens.
	Answer int64
	// Parts are the parts of the prompt.
	Parts []router.Part
	// Deadline is until when the caller waits; zero if not told.
	Deadline time.Time
	// After is the identity of the last event that the caller has of a stream.
	After string
}

// Face is how callers of routes and the product tell each other of requests in
// the fields of headers.
type Face struct {
	// Identity is the field with the identity of a request, in both directions.
	Identity string
	// Read reads the facts of a request that came now. Errors are for the caller.
	Read func(header http.Header, now time.Time) (Facts, error)
	// RetryAfter writes when a refused request may come again.
	RetryAfter func(span time.Duration) string
	// Own are the fields that are not taken from callers, in canonical form.
	Own []string
}

func (f Face) withDefaults() Face {
	if f.Identity == "" {
		f.Identity = headerIdentity
	}
	if f.Read == nil {
		f.Read = readFacts
	}
	if f.RetryAfter == nil {
		f.RetryAfter = retryAfter
	}
	if f.Own == nil {
		f.Own = forwarder.OwnDialect().Own
	}
	return f
}

// The fields of the product's own routed requests.
const (
	headerIdentity = "X-Request-Id"
	headerModel    = "X-Model"
	headerTokens   = "X-Tokens"
	headerParts    = "X-Prompt-Parts"
	headerTimeout  = "X-Timeout"
	headerAfter    = "Last-Event-Id"
)

// MalformedField reports a field of a header that cannot be read.
type MalformedField struct {
	// Field is its name.
	Field string
	// Form is how it should look.
	Form string
}

// Error implements error.
func (e *MalformedField) Error() string { return "the field " + e.Field + " must look like " + e.Form }

func malformed(field, form string) error {
	return &MalformedField{
		Field: field,
		Form:  form,
	}
}

// readFacts reads the product's own fields.
func readFacts(header http.Header, now time.Time) (Facts, error) {
	facts := Facts{
		Identity: header.Get(headerIdentity),
		After:    header.Get(headerAfter),
	}
	facts.Model, facts.Adapter, _ = strings.Cut(header.Get(headerModel), "/")
	if text := header.Get(headerTimeout); text != "" {
		span, ok := parseSpan(text)
		if !ok {
			return facts, malformed(headerTimeout, "1.5s")
		}
		facts.Deadline = now.Add(span)
	}
	if text := header.Get(headerTokens); text != "" {
		prompt, answer, ok := ParseCounts(text)
		if !ok {
			return facts, malformed(headerTokens, "1460,80")
		}
		facts.Counted, facts.Prompt, facts.Answer = true, prompt, answer
	}
	parts, ok := ParseParts(header.Get(headerParts))
	if !ok {
		return facts, malformed(headerParts, "5c1e07a2:800,91bd3f06:410")
	}
	facts.Parts = parts
	return facts, nil
}

// countLimit is the largest number of tokens that a request may tell: more
// than any engine's memory holds, and far from overflow.
const countLimit = 1 << 40

// ParseCounts reads two counts as in "1460,80".
func ParseCounts(text string) (first, second int64, ok bool) {
	one, two, ok := strings.Cut(text, ",")
	if !ok {
		return 0, 0, false
	}
	first, errFirst := strconv.ParseInt(strings.TrimSpace(one), 10, 64)
	second, errSecond := strconv.ParseInt(strings.TrimSpace(two), 10, 64)
	inBounds := first >= 0 && second >= 0 && first <= countLimit && second <= countLimit
	return first, second, errFirst == nil && errSecond == nil && inBounds
}

// partsLimit is the largest number of parts that a prompt may have.
const partsLimit = 64

// ParseParts reads parts as in "5c1e07a2:800,91bd3f06:410". The hash of each
// covers those before it. An empty text has no parts.
func ParseParts(text string) ([]router.Part, bool) {
	if text == "" {
		return nil, true
	}
	fields := strings.Split(text, ",")
	if len(fields) > partsLimit {
		return nil, false
	}
	parts := make([]router.Part, 0, len(fields))
	hash := uint64(fnvOffset)
	for _, field := range fields {
		name, count, ok := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.ParseInt(count, 10, 64)
		if !ok || err != nil || tokens < 0 || tokens > countLimit {
			return nil, false
		}
		hash = hashText(hash, name)
		parts = append(parts, router.Part{
			Hash:   hash,
			Tokens: tokens,
		})
	}
	return parts, true
}
