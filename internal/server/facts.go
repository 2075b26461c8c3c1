package server

import (
	"strconv"
	"strings"
	"time"

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
	// HasTokenCounts is set if the caller gave PromptTokens and AnswerTokens.
	HasTokenCounts bool
	// PromptTokens is the length of the prompt, in tokens.
	PromptTokens int64
	// AnswerTokens is the largest length of the answer, in tokens.
	AnswerTokens int64
	// Parts are the parts of the prompt, used to find an engine that has them cached.
	Parts []router.PromptPart
	// Deadline is the time until which the caller waits; zero if not given.
	Deadline time.Time
	// Resumes is the identity of the attempt that brought the first event of the stream that goes on; empty if the caller does
	// not tell, or for a new stream.
	Resumes string
	// LastEventID is the identity of the last event of a stream that the caller has received.
	LastEventID string
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
// covers the names of all parts up to it, so that equal hashes mean equal prefixes, and its Name its own name alone. An empty text has no parts.
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
			Name:   hashText(fnvOffset, name),
			Tokens: tokens,
		})
	}
	return parts, true
}
