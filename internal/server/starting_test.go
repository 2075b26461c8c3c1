package server_test

import (
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/server"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// TestValidKeyIsNotCalledInvalidWhileStarting sends requests to an instance that has no configuration yet: they are
// refused as starting, not as invalid, and a request succeeds once the configuration is known.
func TestValidKeyIsNotCalledInvalidWhileStarting(t *testing.T) {
	is := is.New(t)
	var known atomic.Bool
	f := newFixture(t, fixtureConfig{
		services: 1,
		server: server.Config{
			ConfigReady: known.Load,
		},
	})
	full := f.snapshot.Swap(configurator.Empty())
	for _, path := range []string{"/v1/completions", "/v1/models", "/crates/x", "/open/x"} {
		answer := f.send("POST", path, `{"model":"ledger","prompt":"x","max_tokens":1}`)
		is.Equal(answer.StatusCode, 503)
		is.True(answer.Header.Get("Retry-After") != "")
		refusal := f.decodeRefusal(answer)
		is.Equal(refusal.Error.Code, refuser.CodeStarting)
		is.Equal(refusal.Error.Outcome, refuser.NotRun)
	}
	f.snapshot.Store(full)
	known.Store(true)
	is.Equal(f.send("POST", "/v1/completions", `{"model":"ledger","prompt":"x","max_tokens":1}`).StatusCode, 200)
}
