package runner_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
)

// lastBytes counts the entries of the journal when the end of an answer is written.
type lastBytes struct {
	*httptest.ResponseRecorder
	runner  *runner.Runner
	end     string
	entries int
}

func (w *lastBytes) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte(w.end)) {
		w.entries = len(w.runner.Requests())
	}
	return w.ResponseRecorder.Write(p)
}

func TestJournalHoldsARequestBeforeItsAnswerEnds(t *testing.T) {
	for end, body := range map[string]string{
		`"total_tokens"`: `{"model":"a","prompt":"x","max_tokens":2}`,
		"data: [DONE]":   `{"model":"a","prompt":"x","max_tokens":2,"stream":true}`,
	} {
		t.Run(end, func(t *testing.T) {
			is := is.New(t)
			r := runner.New(runner.Config{
				Name: "e1",
			})
			post(t, r, "/v1/models/load", `{"checkpoint":"a","bytes":1}`)
			waitReady(r, 1)
			w := &lastBytes{
				ResponseRecorder: httptest.NewRecorder(),
				runner:           r,
				end:              end,
			}
			request := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
			request.Header.Set("X-Request-Id", "1")
			r.ServeHTTP(w, request)
			is.Equal(w.entries, 1)
			is.Equal(len(r.Requests()), 1)
			is.Equal(r.Requests()[0].End, runner.EndDone)
		})
	}
}
