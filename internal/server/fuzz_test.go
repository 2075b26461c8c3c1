package server

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
)

// FuzzParseCompletion checks that an engine decodes the same model, token limit and stream flag that the server parsed,
// for any body that the server accepts.
func FuzzParseCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","prompt":"x"}`,
		`{"model":"m","messages":[{"role":"user","content":"x"}],"max_completion_tokens":5,"stream":true}`,
		`{"model":"m","model":"other","prompt":["a","b"],"n":2}`,
		`{"model":"m","MODEL":"other","prompt":"x"}`,
		"{\"model\":\"m\",\"prompt\":\"x\",\"max_to\u212aens\":999999}",
		"{\"model\":\"m\",\"prompt\":\"x\",\"\u017ftream\":true}",
		`{"model":null,"prompt":"x","max_tokens":null}`,
		`{"model":"m","prompt":"x","max_tokens":1e3,"stream_options":{"include_usage":true}}`,
		`[]`, `{`, ``, `{"model":"m","prompt":{}}`, `{"model":"m","prompt":"x","n":-1}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c, refusal := parseCompletion(body, 256)
		if refusal != nil {
			return
		}
		encoded, err := c.encode("checkpoint", "p")
		if err != nil {
			t.Fatal(err)
		}
		var read runner.Completion
		if err := json.Unmarshal(encoded, &read); err != nil && !strings.Contains(err.Error(), "messages") && !strings.Contains(err.Error(), "prompt") && !strings.Contains(err.Error(), "stream_options") {
			t.Fatalf("%s: %v", encoded, err)
		}
		if read.Model != "checkpoint" || int64(read.MaxTokens) != c.tokens || read.Stream != c.stream {
			t.Fatalf("%s was decoded as %+v", encoded, read)
		}
	})
}

// FuzzRequestID checks that a request identity is safe to log and contains no secret.
func FuzzRequestID(f *testing.F) {
	f.Add("r-1", "sk-1")
	f.Add("a\nb", "x")
	f.Add("has-sk-1-inside", "sk-1")
	f.Fuzz(func(t *testing.T, given, secret string) {
		id := requestID(given, []string{secret})
		if !safeIdentity(id) || len(secret) > 3 && strings.Contains(id, secret) {
			t.Fatalf("%q", id)
		}
	})
}
