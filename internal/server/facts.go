package server

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/internal/router"
)

// Facts holds what the header of a routed request states about the request.
type Facts struct {
	// Identity is the caller's identity of the request, as received; responses carry it.
	Identity string
	// Model is the requested model; empty if there is none.
	Model string
	// Adapter is the requested adapter of the model; empty if there is none.
	Adapter string
	// Counted is set if the caller gave Prompt and Answer.
	Counted bool
	// Prompt is the length of the prompt, in tokens.
	Prompt int64
	// Answer is the largest length of the answer, in tokens.
	Answer int64
	// Parts are the parts of the prompt, used to find an engine that has them cached.
	Parts []router.PromptPart
	// Deadline is the time until which the caller waits; zero if not given.
	Deadline time.Time
	// After is the identity of the last event of a stream that the caller has received.
	After string
}

// HeaderFormat defines the header fields in which routed requests carry their facts and responses carry the request's
// identity.
type HeaderFormat struct {
	// Identity is the name of the field with the request's identity, in requests and responses.
	Identity string
	// Read parses the facts of a request that arrived at now. The texts of its errors are sent to the caller.
	Read func(header http.Header, now time.Time) (Facts, error)
	// RetryAfter formats the Retry-After value of a refused request.
	RetryAfter func(delay time.Duration) string
	// Own are the canonical names of fields that are removed from callers' requests.
	Own []string
}

func (f HeaderFormat) withDefaults() HeaderFormat {
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
		f.Own = forwarder.OwnDialect().ReservedFields
	}
	return f
}

// The header fields of routed requests in the default format.
const (
	headerIdentity = "X-Request-Id"
	headerModel    = "X-Model"
	headerTokens   = "X-Tokens"
	headerParts    = "X-Prompt-Parts"
	headerTimeout  = "X-Timeout"
	headerAfter    = "Last-Event-Id"
)

// MalformedField reports a header field that cannot be parsed.
type MalformedField struct {
	// Field is the name of the field.
	Field string
	// Form is an example of a valid value.
	Form string
}

// Error implements error.
func (e *MalformedField) Error() string { return "the field " + e.Field + " must look like " + e.Form }

func malformedField(field, form string) error {
	return &MalformedField{
		Field: field,
		Form:  form,
	}
}

// readFacts parses the fields of the default format. It returns *MalformedField.
func readFacts(header http.Header, now time.Time) (Facts, error) {
	facts := Facts{
		Identity: header.Get(headerIdentity),
		After:    header.Get(headerAfter),
	}
	facts.Model, facts.Adapter, _ = strings.Cut(header.Get(headerModel), "/")
	if text := header.Get(headerTimeout); text != "" {
		span, ok := parseDuration(text)
		if !ok {
			return facts, malformedField(headerTimeout, "1.5s")
		}
		facts.Deadline = now.Add(span)
	}
	if text := header.Get(headerTokens); text != "" {
		prompt, answer, ok := ParseCounts(text)
		if !ok {
			return facts, malformedField(headerTokens, "1460,80")
		}
		facts.Counted, facts.Prompt, facts.Answer = true, prompt, answer
	}
	parts, ok := ParseParts(header.Get(headerParts))
	if !ok {
		return facts, malformedField(headerParts, "5c1e07a2:800,91bd3f06:410")
	}
	facts.Parts = parts
	return facts, nil
}

// maxTokenCount is the largest token count accepted in a header: more than any engine's memory holds, and far from
// overflow.
const maxTokenCount = 1 << 40

// ParseCounts parses two token counts as in "1460,80".
func ParseCounts(text string) (first, second int64, ok bool) {
	firstText, secondText, ok := strings.Cut(text, ",")
	if !ok {
		return 0, 0, false
	}
	first, errFirst := strconv.ParseInt(strings.TrimSpace(firstText), 10, 64)
	second, errSecond := strconv.ParseInt(strings.TrimSpace(secondText), 10, 64)
	inBounds := first >= 0 && second >= 0 && first <= maxTokenCount && second <= maxTokenCount
	return first, second, errFirst == nil && errSecond == nil && inBounds
}

// maxParts is the largest number of parts of a prompt.
const maxParts = 64

// ParseParts parses prompt parts as in "5c1e07a2:800,91bd3f06:410", a name and a token count each. The hash of a part
// covers the names of all parts up to it, so that equal hashes mean equal prefixes. An empty text has no parts.
func ParseParts(text string) ([]router.PromptPart, bool) {
	if text == "" {
		return nil, true
	}
	fields := strings.Split(text, ",")
	if len(fields) > maxParts {
		return nil, false
	}
	parts := make([]router.PromptPart, 0, len(fields))
	hash := uint64(fnvOffset)
	for _, field := range fields {
		name, count, ok := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.ParseInt(count, 10, 64)
		if !ok || err != nil || tokens < 0 || tokens > maxTokenCount {
			return nil, false
		}
		hash = hashText(hash, name)
		parts = append(parts, router.PromptPart{
			Hash:   hash,
			Tokens: tokens,
		})
	}
	return parts, true
}
