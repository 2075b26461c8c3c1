package server

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/go-kit/kit/endpoint"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

const (
	// maxChoices is the largest number of completions of one prompt (the field n).
	maxChoices = 16
	// maxPrompts is the largest number of prompts in one request.
	maxPrompts = 64
	// maxTokens is the largest completion that can be requested, in tokens.
	maxTokens = 1 << 20
)

// completion holds the parsed body of a completion request.
type completion struct {
	model  string
	stream bool
	// includeUsage is set if the caller requested token usage at the end of the stream.
	includeUsage bool
	// tokens is the largest length of one completion.
	tokens int64
	// answers is the number of completions to generate, over all prompts.
	answers int64
	// prompt is the raw value of the field messages, else of the field prompt.
	prompt json.RawMessage
	// cacheKey is the caller's prompt_cache_key; empty if there is none.
	cacheKey string
	// fields are all fields of the body. They are sent on to the engine after encode has replaced some.
	fields map[string]json.RawMessage
}

// parse reads and parses the body of a completion request.
func (s *Server) parse(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		e := request.(*exchange)
		if refusal := e.readBody(); refusal != nil {
			return nil, refusal
		}
		parsed, refusal := parseCompletion(e.body, s.config.AnswerTokens)
		if refusal != nil {
			return nil, refusal
		}
		e.completion = parsed
		return next(ctx, e)
	}
}

// parseCompletion parses and validates the body of a completion request. tokens is the max_tokens of requests that
// give none.
func parseCompletion(body []byte, tokens int64) (*completion, *refuser.Refusal) {
	c := &completion{
		tokens:  tokens,
		answers: 1,
	}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, badRequest("the body is no JSON object")
	}
	var options struct {
		Usage bool `json:"include_usage"`
	}
	if refusal := c.checkNames(); refusal != nil {
		return nil, refusal
	}
	refusal := cmp.Or(
		c.decodeField("model", &c.model),
		c.decodeField("stream", &c.stream),
		c.decodeField("stream_options", &options),
		c.decodeField("max_tokens", &c.tokens),
		c.decodeField("max_completion_tokens", &c.tokens),
		c.decodeField("n", &c.answers),
		c.decodeField("prompt_cache_key", &c.cacheKey),
	)
	if refusal != nil {
		return nil, refusal
	}
	c.includeUsage = options.Usage
	return c, c.validate()
}

// decodeField decodes one field into a variable. A missing field and null leave it unchanged.
func (c *completion) decodeField(name string, into any) *refuser.Refusal {
	raw, ok := c.fields[name]
	if !ok || bytes.Equal(raw, []byte("null")) {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return badRequest("the field " + name + " has a wrong type")
	}
	return nil
}

// interpretedFields are the fields that the server interprets. A field whose name differs from one of them only in
// letter case is refused: an engine that matches names without case might read it instead.
var interpretedFields = []string{
	"model", "stream", "stream_options", "max_tokens", "max_completion_tokens", "n", "prompt_cache_key", "prompt", "messages",
}

// checkNames refuses other spellings of the interpreted fields.
func (c *completion) checkNames() *refuser.Refusal {
	for name := range c.fields {
		for _, interpreted := range interpretedFields {
			if name != interpreted && strings.EqualFold(name, interpreted) {
				return badRequest("the field " + interpreted + " is spelled in another way")
			}
		}
	}
	return nil
}

// validate checks the decoded fields against the limits and sets prompt.
func (c *completion) validate() *refuser.Refusal {
	if c.model == "" {
		return badRequest("the field model is missing")
	}
	if c.tokens < 1 || c.tokens > maxTokens {
		return badRequest("the field max_tokens must be from 1 to " + strconv.Itoa(maxTokens))
	}
	if c.answers < 1 || c.answers > maxChoices {
		return badRequest("the field n must be from 1 to " + strconv.Itoa(maxChoices))
	}
	c.prompt = c.fields["messages"]
	if c.prompt != nil {
		return nil
	}
	c.prompt = c.fields["prompt"]
	if c.prompt == nil {
		return badRequest("the fields prompt and messages are missing")
	}
	return c.checkPrompt()
}

// checkPrompt accepts a prompt that is a string or a list of strings. A list multiplies the number of answers.
func (c *completion) checkPrompt() *refuser.Refusal {
	if len(c.prompt) > 0 && c.prompt[0] == '"' {
		return nil
	}
	var prompts []string
	if err := json.Unmarshal(c.prompt, &prompts); err != nil || len(prompts) == 0 || len(prompts) > maxPrompts {
		return badRequest("the field prompt must be a text or a list of up to " + strconv.Itoa(maxPrompts) + " texts")
	}
	c.answers *= int64(len(prompts))
	return nil
}

// badRequest returns a refusal for an invalid request body.
func badRequest(detail string) *refuser.Refusal { return newRefusal(refuser.CodeBadRequest, detail) }

// encode returns the body for the engine: model is the name of the checkpoint or adapter, the token limit is explicit,
// a caller's cache key is replaced by prefix, the user field is removed and streams always include usage.
func (c *completion) encode(model, prefix string) ([]byte, error) {
	c.fields["model"] = quote(model)
	c.fields["max_tokens"] = json.RawMessage(strconv.FormatInt(c.tokens, 10))
	delete(c.fields, "max_completion_tokens")
	delete(c.fields, "user")
	delete(c.fields, "prompt_cache_key")
	if prefix != "" {
		c.fields["prompt_cache_key"] = quote(prefix)
	}
	if c.stream {
		c.fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	return json.Marshal(c.fields)
}

// quote encodes a string as JSON.
func quote(text string) json.RawMessage {
	quoted, err := json.Marshal(text)
	if err != nil {
		return json.RawMessage(`""`)
	}
	return quoted
}
