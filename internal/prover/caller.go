// Package prover sends requests to a site as callers and operators do, and
// checks the responses. Its tests are end-to-end tests of the project's
// guarantees, with real processes.
package prover

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
)

// Caller sends requests to one instance, authenticated with one key.
type Caller struct {
	// Address is the address on which the instance accepts requests.
	Address netip.AddrPort
	// Secret is the key's secret; if empty, no Authorization header is sent.
	Secret string
}

// CompletionRequest holds the model, prompt and options of a completion request.
type CompletionRequest struct {
	// Model is the name of the requested model or adapter.
	Model string
	// Prompt is the text to complete.
	Prompt string
	// Tokens is the number of tokens to generate.
	Tokens int
	// Stream requests the answer as server-sent events.
	Stream bool
	// Deadline is sent as X-Deadline, the time by which the answer must be complete; if zero, the header is omitted.
	Deadline time.Time
	// Class is sent as X-Priority; if empty, the header is omitted.
	Class string
}

// Answer is the response to one request, as the caller received it.
type Answer struct {
	// Status is the HTTP status code, or 0 if no response arrived.
	Status int
	// Code and Outcome are the error fields of a refusal or of a broken stream; empty without an error.
	Code    string
	Outcome string
	// Text is the generated text.
	Text string
	// Complete is set if the answer is complete: a stream that ended with [DONE] and without an error, or a body
	// that was read to its end with status 200.
	Complete bool
	// Body is the body of an answer that was not streamed.
	Body []byte
	// RetryAfter is the value of the Retry-After header.
	RetryAfter string
	// Began and Ended are the times when the request was sent and when the answer ended.
	Began time.Time
	Ended time.Time
}

// transport holds the connections of all Callers, separate from those of http.DefaultTransport.
var transport = &http.Transport{
	MaxIdleConnsPerHost: 256,
}

// Complete sends a completion request and reads the answer to its end.
func (c *Caller) Complete(ctx context.Context, request CompletionRequest) Answer {
	body, _ := json.Marshal(runner.Completion{
		Model:     request.Model,
		Prompt:    request.Prompt,
		MaxTokens: request.Tokens,
		Stream:    request.Stream,
	})
	header := http.Header{}
	if !request.Deadline.IsZero() {
		header.Set("X-Deadline", request.Deadline.Format(time.RFC3339Nano))
	}
	if request.Class != "" {
		header.Set("X-Priority", request.Class)
	}
	return c.call(ctx, http.MethodPost, "/v1/completions", header, body, request.Stream)
}

// Post sends a POST request to a plain service. An empty idempotency key sends no Idempotency-Key header.
func (c *Caller) Post(ctx context.Context, path, key string, body []byte) Answer {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	return c.call(ctx, http.MethodPost, path, header, body, false)
}

func (c *Caller) call(ctx context.Context, method, path string, header http.Header, body []byte, stream bool) Answer {
	answer := Answer{
		Began: time.Now(),
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return answer
	}
	// Without GetBody the transport cannot retry by itself: only the test decides about retries.
	request.GetBody = nil
	request.Header = header
	if c.Secret != "" {
		request.Header.Set("Authorization", "Bearer "+c.Secret)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		answer.Ended = time.Now()
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	answer.Status = response.StatusCode
	answer.RetryAfter = response.Header.Get("Retry-After")
	if stream && response.StatusCode == http.StatusOK {
		answer.readStream(response.Body)
	} else {
		answer.readBody(response.Body)
	}
	answer.Ended = time.Now()
	return answer
}

// errorBody is the JSON body of an error response, and the data of the event that ends a broken stream.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

// completionBody is the JSON body of a completion, or the data of one server-sent event of a streamed one.
type completionBody struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	errorBody
}

func (a *Answer) readBody(body io.Reader) {
	data, err := io.ReadAll(body)
	a.Body = data
	a.Complete = err == nil && a.Status == http.StatusOK
	a.addChunk(data)
}

func (a *Answer) readStream(body io.Reader) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		switch {
		case !found:
		case data == "[DONE]":
			a.Complete = a.Code == ""
			return
		default:
			a.addChunk([]byte(data))
		}
	}
}

// addChunk appends the text of a body or event and records its error, if any. Data that is not JSON is ignored.
func (a *Answer) addChunk(data []byte) {
	var chunk completionBody
	if json.Unmarshal(data, &chunk) != nil {
		return
	}
	for _, choice := range chunk.Choices {
		a.Text += choice.Text
	}
	if chunk.Error.Code != "" {
		a.Code = chunk.Error.Code
		a.Outcome = chunk.Error.Outcome
	}
}

// Matches reports whether the answer is complete and its text is what the
// emulated engine generates for the request from that checkpoint.
func (a *Answer) Matches(checkpoint string, request CompletionRequest) bool {
	return a.Complete && a.Text == runner.Text(checkpoint, request.Prompt, request.Tokens)
}
