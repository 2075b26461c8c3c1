package server_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// errorResponse is the body of a refusal.
type errorResponse struct {
	Error struct {
		Message string          `json:"message"`
		Type    string          `json:"type"`
		Code    refuser.Code    `json:"code"`
		Outcome refuser.Outcome `json:"outcome"`
		Request string          `json:"request_id"`
	} `json:"error"`
}

// decodeRefusal decodes the refusal in the body of a response.
func (f *fixture) decodeRefusal(answer *http.Response) errorResponse {
	f.t.Helper()
	var refusal errorResponse
	if err := json.NewDecoder(answer.Body).Decode(&refusal); err != nil {
		f.t.Fatal(err)
	}
	return refusal
}

// streamText joins the tokens in a stream of completion events.
func streamText(stream string) string {
	var joined strings.Builder
	for line := range strings.SplitSeq(stream, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var event struct {
			Choices []struct {
				Text  string `json:"text"`
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &event) != nil {
			continue
		}
		for _, choice := range event.Choices {
			joined.WriteString(choice.Text + choice.Delta.Content)
		}
	}
	return joined.String()
}

func readAll(t testing.TB, answer *http.Response) string {
	t.Helper()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
