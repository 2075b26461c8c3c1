package runner

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// DefaultTokens is the length of an answer, in tokens, if the request sets no maximum.
const DefaultTokens = 16

// bodyLimit is the maximum size of a request body, in bytes.
const bodyLimit = 64 << 20

// Completion is the JSON body of a completion or chat completion request.
type Completion struct {
	// Model is the name of a checkpoint or adapter.
	Model string `json:"model"`
	// Prompt is the text to complete.
	Prompt string `json:"prompt,omitempty"`
	// Messages are the messages of a chat; if there are any, they replace Prompt.
	Messages []Message `json:"messages,omitempty"`
	// MaxTokens is the length of the answer; zero means DefaultTokens.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Stream requests the answer as server-sent events.
	Stream bool `json:"stream,omitempty"`
	// CacheKey identifies the prompt's prefix in the cache.
	CacheKey string `json:"prompt_cache_key,omitempty"`
	// StreamOptions configure a stream.
	StreamOptions struct {
		// IncludeUsage requests token counts in an event after the last token.
		IncludeUsage bool `json:"include_usage,omitempty"`
	} `json:"stream_options"`
}

// Text returns the full prompt; the messages of a chat are joined into one text.
func (c Completion) Text() string {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	var text strings.Builder
	for _, message := range c.Messages {
		text.WriteString(message.Role + ": " + message.Content + "\n")
	}
	return text.String()
}

// Tokens returns the length of the answer, in tokens.
func (c Completion) Tokens() int {
	if c.MaxTokens == 0 {
		return DefaultTokens
	}
	return c.MaxTokens
}

// The values of Request.End.
const (
	// EndDone means that the answer was sent completely.
	EndDone = "done"
	// EndCancelled means that the request was cancelled, its client disconnected or the engine died.
	EndCancelled = "cancelled"
	// EndBroken means that an injected fault broke the connection.
	EndBroken = "broken"
)

// readCompletion decodes the body of a request.
func readCompletion(request *http.Request) (Completion, error) {
	var completion Completion
	body, err := io.ReadAll(io.LimitReader(request.Body, bodyLimit))
	if err != nil {
		return completion, err
	}
	err = json.Unmarshal(body, &completion)
	return completion, err
}

// promptTokens returns the length of a prompt in tokens: the emulator counts each word as one token.
func promptTokens(text string) int { return len(strings.Fields(text)) }
