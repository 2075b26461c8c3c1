package servicer_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/faulter"
	"github.com/buckthorngap/buckthorngap/internal/emulator/servicer"
)

// TestDeadlyCallsCrashTheService checks that a service crashes under a call whose body holds the text, and only then.
func TestDeadlyCallsCrashTheService(t *testing.T) {
	is := is.New(t)
	service := servicer.New(servicer.Config{
		Name: "crates1",
	})
	service.Faults().Set(faulter.Fault{
		Kind:  faulter.Deadly,
		Count: -1,
		Text:  "boom",
	})
	server := httptest.NewServer(service)
	defer server.Close()
	post := func(body string) error {
		response, err := http.Post(server.URL+"/log", "text/plain", strings.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	}
	is.NoErr(post("sound"))
	is.True(post("boom 1") != nil)
	is.True(post("sound") != nil) // it is down
	is.Equal(len(service.Calls()), 1)
}

// TestRefusalStatesItsPause checks that an armed refusal states the time for which the service wants no requests, and only then.
func TestRefusalStatesItsPause(t *testing.T) {
	is := is.New(t)
	service := servicer.New(servicer.Config{
		Name: "crates1",
	})
	for pause, want := range map[int]string{0: "", 7: "7"} {
		service.Faults().Set(faulter.Fault{
			Kind:  faulter.Refuse,
			Count: 1,
			Pause: pause,
		})
		answer := httptest.NewRecorder()
		service.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/log", strings.NewReader("sound")))
		is.Equal(answer.Code, http.StatusServiceUnavailable)
		is.Equal(answer.Header().Get("Retry-After"), want)
	}
	is.Equal(len(service.Calls()), 0)
}
