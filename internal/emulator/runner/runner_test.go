package runner_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/faulter"
	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

func ExampleText() {
	fmt.Println(len(runner.Text("m", "where are the crates", 3)))
	// Output: 21
}

func post(t *testing.T, r *runner.Runner, path, body string, header ...string) *httptest.ResponseRecorder {
	t.Helper()
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response := httptest.NewRecorder()
	r.ServeHTTP(response, request)
	return response
}

// waitReady polls until the number of ready copies is as given.
func waitReady(r *runner.Runner, copies int) {
	for {
		ready := 0
		for _, target := range r.Report().Copies {
			if target.State == reporter.CopyReady {
				ready++
			}
		}
		if ready == copies {
			return
		}
	}
}

func TestLoadsOnlyIntoItsMemory(t *testing.T) {
	is := is.New(t)
	r := runner.New(runner.Config{
		Name:        "e1",
		MemoryBytes: 100,
		Fencing:     true,
	})
	is.Equal(post(t, r, "/v1/models/load", `{"checkpoint":"a","bytes":60}`, "X-Fencing-Number", "2", "X-Order-Id", "1").Code, 202)
	is.Equal(post(t, r, "/v1/models/load", `{"checkpoint":"b","bytes":60}`, "X-Fencing-Number", "2", "X-Order-Id", "2").Code, 507)
	is.Equal(post(t, r, "/v1/models/load", `{"checkpoint":"c","bytes":10}`, "X-Fencing-Number", "1", "X-Order-Id", "3").Code, 409)
	is.Equal(post(t, r, "/v1/models/load", `{"checkpoint":"d","bytes":10}`, "X-Fencing-Number", "2", "X-Order-Expiry", "2001-01-01T00:00:00Z").Code, 410)
	is.Equal(post(t, r, "/v1/models/load", `{"checkpoint":"a","bytes":60}`, "X-Fencing-Number", "2", "X-Order-Id", "1").Code, 202)
	waitReady(r, 1)
	is.Equal(r.State().Peak, int64(60))
	is.Equal(r.State().Excess, 1)
	is.Equal(post(t, r, "/v1/models/unload", `{"checkpoint":"a"}`, "X-Fencing-Number", "2").Code, 202)
	is.Equal(r.Report().Used, int64(0))
}

func TestAnswersAndResumesExactly(t *testing.T) {
	is := is.New(t)
	r := runner.New(runner.Config{
		Name: "e1",
	})
	post(t, r, "/v1/models/load", `{"checkpoint":"a","bytes":1}`)
	waitReady(r, 1)
	whole := post(t, r, "/v1/completions", `{"model":"a","prompt":"x y","max_tokens":4}`, "X-Request-Id", "1", "Authorization", "Bearer s")
	is.True(strings.Contains(whole.Body.String(), runner.Text("a", "x y", 4)))
	is.Equal(r.Requests()[0].Metadata.Secrets, []string{"Authorization"})

	r.Faults().Set(faultLost(2))
	server := httptest.NewServer(r)
	defer server.Close()
	request, _ := http.NewRequest(http.MethodPost, server.URL+"/v1/completions", strings.NewReader(`{"model":"a","prompt":"x","max_tokens":4,"stream":true}`))
	request.Header.Set("X-Request-Id", "2")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	is.True(err != nil)
	resumed, err := http.Get(server.URL + "/v1/requests/2/resume?after=2")
	is.NoErr(err)
	text, err := io.ReadAll(resumed.Body)
	is.NoErr(err)
	is.Equal(strings.Count(string(text), "id: "), 2)
	is.True(strings.Contains(string(text), "id: 4\n"))
	is.True(strings.HasSuffix(string(text), "data: [DONE]\n\n"))
	gone, err := http.Get(server.URL + "/v1/requests/2/resume?after=2")
	is.NoErr(err)
	is.Equal(gone.StatusCode, http.StatusGone)
}

// TestDeadlyPromptsCrashTheEngine guards against a stand-in that answers what it should crash under, or crashes under more.
func TestDeadlyPromptsCrashTheEngine(t *testing.T) {
	is := is.New(t)
	r := runner.New(runner.Config{
		Name:        "e1",
		MemoryBytes: 100,
	})
	load := func() {
		is.Equal(post(t, r, "/v1/models/load", `{"checkpoint":"a","bytes":60}`).Code, 202)
		waitReady(r, 1)
	}
	r.Faults().Set(faulter.Fault{
		Kind:  faulter.Deadly,
		Count: -1,
		Text:  "wet boots",
	})
	load()
	is.Equal(post(t, r, "/v1/completions", `{"model":"a","prompt":"dry boots"}`).Code, http.StatusOK)
	is.Equal(len(r.Report().Copies), 1)
	func() {
		defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
		post(t, r, "/v1/completions", `{"model":"a","prompt":"my wet boots"}`)
	}()
	is.Equal(len(r.Report().Copies), 0)
}
