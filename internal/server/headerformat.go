package server

import (
	"net/http"
	"strings"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/forwarder"
)

// HeaderFormat defines the header fields in which routed requests carry their facts and responses carry the request's
// identity.
type HeaderFormat struct {
	// Identity is the name of the field with the request's identity, in requests and responses.
	Identity string
	// Key is the canonical name of the field that alone carries the caller's key; empty means Authorization, then X-Api-Key.
	Key string
	// Parse parses the facts of a request that arrived at now. The texts of its errors are sent to the caller.
	Parse func(header http.Header, now time.Time) (Facts, error)
	// RetryAfter formats the Retry-After value of a refused request.
	RetryAfter func(delay time.Duration) string
	// ReservedFields are the canonical names of fields that are removed from callers' requests.
	ReservedFields []string
}

func (f HeaderFormat) withDefaults() HeaderFormat {
	if f.Identity == "" {
		f.Identity = headerIdentity
	}
	if f.Parse == nil {
		f.Parse = parseFacts
	}
	if f.RetryAfter == nil {
		f.RetryAfter = retryAfter
	}
	if f.ReservedFields == nil {
		f.ReservedFields = forwarder.OwnDialect().ReservedFields
	}
	return f
}

// The header fields of routed requests in the default format.
const (
	headerIdentity  = "X-Request-Id"
	headerModel     = "X-Model"
	headerTokens    = "X-Tokens"
	headerParts     = "X-Prompt-Parts"
	headerTimeout   = "X-Timeout"
	headerLastEvent = "Last-Event-Id"
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

// parseFacts parses the fields of the default format. It returns *MalformedField.
func parseFacts(header http.Header, now time.Time) (Facts, error) {
	facts := Facts{
		Identity:    header.Get(headerIdentity),
		LastEventID: header.Get(headerLastEvent),
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
		facts.HasTokenCounts, facts.PromptTokens, facts.AnswerTokens = true, prompt, answer
	}
	parts, ok := ParseParts(header.Get(headerParts))
	if !ok {
		return facts, malformedField(headerParts, "5c1e07a2:800,91bd3f06:410")
	}
	facts.Parts = parts
	return facts, nil
}
