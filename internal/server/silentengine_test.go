package server_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
)

// TestStreamIsRetriedIfTheEngineIsSilent checks that a stream is moved to another engine if the first one sends nothing.
func TestStreamIsRetriedIfTheEngineIsSilent(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int64
	f := newFixture(t, fixtureConfig{
		engines: 2,
		wrap: func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/v1/completions" && arrived.Add(1) == 1 {
					_, _ = io.Copy(io.Discard, r.Body) // else net/http does not notice that the client disconnects
					<-r.Context().Done()
					return
				}
				next.ServeHTTP(w, r)
			})
		},
	})
	answer := f.send("POST", "/v1/completions", `{"model":"ledger","prompt":"x","max_tokens":4,"stream":true}`, "X-Timeout", "2s")
	is.Equal(streamText(readAll(t, answer)), runner.Text(checkpoint, "x", 4))
	is.Equal(arrived.Load(), int64(2))
}
