package generator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
)

var dataPrefix = []byte("data: ")

// sendRequest sends one request, reads the streamed answer and verifies its text. It
// returns the times to the first token and to the end of the answer, and whether
// the answer was complete and correct.
func (r *route) sendRequest(ctx context.Context, prompt string) (first, whole time.Duration, ok bool) {
	config := r.generator.config
	request, err := r.newRequest(ctx, prompt)
	if err != nil {
		return 0, 0, false
	}
	started := config.Now()
	response, err := r.generator.client.Do(request)
	if err != nil {
		return 0, 0, false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return 0, 0, false
	}
	reader := bufio.NewReader(response.Body)
	var text strings.Builder
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return 0, 0, false
		}
		if !bytes.HasPrefix(line, dataPrefix) {
			continue
		}
		if first == 0 {
			first = config.Now().Sub(started)
		}
		line = bytes.TrimSpace(line[len(dataPrefix):])
		if string(line) == "[DONE]" {
			break
		}
		text.WriteString(eventText(line))
	}
	_, err = io.Copy(io.Discard, reader)
	whole = config.Now().Sub(started)
	// The entry instance requests the checkpoint from the engine, so the text depends on it and not on the model's name.
	return first, whole, err == nil && text.String() == runner.Text(config.Checkpoint, prompt, config.Tokens)
}

var textField = []byte(`"text":"`)

// eventText returns the text in an event of an emulated engine, whose tokens
// need no unescaping.
func eventText(event []byte) string {
	_, rest, found := bytes.Cut(event, textField)
	if !found {
		return ""
	}
	text, _, _ := bytes.Cut(rest, []byte{'"'})
	return string(text)
}

func (r *route) newRequest(ctx context.Context, prompt string) (*http.Request, error) {
	body, err := json.Marshal(runner.Completion{
		Model:     r.model,
		Prompt:    prompt,
		MaxTokens: r.generator.config.Tokens,
		Stream:    true,
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url, bytes.NewReader(body))
	if err == nil && r.secret != "" {
		request.Header.Set("Authorization", "Bearer "+r.secret)
	}
	return request, err
}
