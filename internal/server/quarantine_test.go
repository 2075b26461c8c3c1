package server_test

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/quarantiner"
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
			Check: func(request quarantiner.Request) (time.Time, bool) {
				return until, len(request.Parts) == 2 && request.Parts[1] == deadly[0].Name
			},
			ReportBegun:    func([]uint64, time.Time) {},
			ReportComplete: func(uint64, time.Time) {},
			ReportBroken:   func(string, netip.AddrPort, quarantiner.Attempt) {},
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

// TestQuarantinedRequestIsRefusedAtOnce guards against a request that crashes the servers of a plain service and is sent to
// them once more, with another identity or method, and against others that are refused with it.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	var seen []uint64
	held := uint64(0)
	f := newRoutedFixture(t, server.Config{
		Quarantine: server.Quarantine{
			Check: func(request quarantiner.Request) (time.Time, bool) {
				seen = append(seen, request.Whole)
				return time.Now().Add(time.Minute), held != 0 && request.Whole == held
			},
			ReportBegun:    func([]uint64, time.Time) {},
			ReportComplete: func(whole uint64, _ time.Time) { held = whole },
			ReportBroken:   func(string, netip.AddrPort, quarantiner.Attempt) {},
		},
	}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Receipt", "r")
		w.WriteHeader(http.StatusOK)
	})
	response, _ := f.send(t, http.MethodPost, "/open/x", "body")
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(held != 0)
	first := held
	sent, reserved := len(f.requests), len(f.reserved)
	response, _ = f.send(t, http.MethodPut, "/open/x", "body")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
	is.Equal(len(f.requests), sent)
	is.Equal(len(f.reserved), reserved)
	for _, other := range [][2]string{{"/open/y", "body"}, {"/open/x", "bodies"}, {"/open/xb", "ody"}} {
		response, _ = f.send(t, http.MethodPost, other[0], other[1])
		is.Equal(response.StatusCode, http.StatusOK)
		is.True(seen[len(seen)-1] != first)
		held = first
	}
}
