package prover_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/recorder"
	"github.com/buckthorngap/buckthorngap/internal/prover"
)

// TestNoUpstreamSeesACallersKey guards against leaking a caller's key. It puts
// the secret in the query, headers, cookie and trailer of a request, and
// searches the journals of all upstreams for it.
func TestNoUpstreamSeesACallersKey(t *testing.T) {
	is := is.New(t)
	ctx, fixture := prepare(t, twoDomains(), prover.Setup{
		Models: []string{"ledger"},
	})
	site := fixture.Site
	for _, path := range []string{"/v1/completions", prover.Path + "returns"} {
		body := io.Reader(strings.NewReader(`{"model":"ledger","prompt":"hello","max_tokens":2}`))
		request, err := http.NewRequestWithContext(ctx, http.MethodPost,
			"http://"+site.Instances[0].Callers.String()+path+"?api_key="+fixture.Secret+"&page=2&note="+fixture.Secret, body)
		is.NoErr(err)
		request.Header.Set("Authorization", "Bearer "+fixture.Secret)
		request.Header.Set("X-Api-Key", fixture.Secret)
		request.Header.Set("X-Note", "my key is "+fixture.Secret)
		request.AddCookie(&http.Cookie{
			Name:  "session",
			Value: fixture.Secret,
		})
		request.Trailer = http.Header{
			"X-Last": []string{fixture.Secret},
		}
		request.ContentLength = -1
		answer, err := http.DefaultTransport.RoundTrip(request)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, answer.Body)
		is.Equal(answer.StatusCode, http.StatusOK)
	}
	entries := 0
	for _, upstream := range append(site.Engines, site.Services...) {
		var journal recorder.Journal[json.RawMessage]
		is.NoErr(site.Read(ctx, upstream.Callers, "/control/journal", &journal))
		for _, entry := range journal.Entries {
			entries++
			if strings.Contains(string(entry), fixture.Secret) {
				t.Errorf("upstream %s received the key: %s", upstream.Name, entry)
			}
		}
	}
	is.True(entries >= 2)
}
