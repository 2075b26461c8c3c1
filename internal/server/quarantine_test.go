package server_test

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/server"
)

// TestPartsAreNamedWhateverPrecedesThem guards against a part that is taken for another one where the rest of the prompt
// differs.
func TestPartsAreNamedWhateverPrecedesThem(t *testing.T) {
	is := is.New(t)
	first, ok := server.ParseParts("a:10,m:20,l1:5")
	is.True(ok)
	second, ok := server.ParseParts("b:30,m:20,l2:5")
	is.True(ok)
	is.Equal(first[1].Name, second[1].Name)
	is.True(first[1].Hash != second[1].Hash)
	is.True(first[0].Name != second[0].Name)
}

// TestQuarantinedPromptIsRefusedAtOnce guards against a prompt that crashes engines and is sent, waits or costs its team
// anything, and against a refusal that does not say that it did not run and when to come back.
func TestQuarantinedPromptIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	until := time.Now().Add(time.Minute)
	deadly, ok := server.ParseParts("m:20,l:5")
	is.True(ok)
	f := newRoutedFixture(t, server.Config{
		Quarantine: server.Quarantine{
			Check: func(parts []uint64) (time.Time, bool) {
				return until, len(parts) == 2 && parts[1] == deadly[0].Name
			},
			ReportBegun:  func([]uint64, time.Time) {},
			ReportBroken: func(string, netip.AddrPort, []uint64) {},
		},
	}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	began := time.Now()
	response, _ := f.send(t, http.MethodPost, "/prompt/x", "body", "X-Model", "ledger", "X-Prompt-Parts", "a:10,m:20,l9:5")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
	is.True(time.Since(began) < time.Second)
	is.Equal(len(f.requests), 0)
	is.Equal(len(f.reserved), 0)
}
