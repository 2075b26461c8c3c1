package server_test

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/faulter"
	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// endlessStream requests a stream that ends only when it is cut off.
const endlessStream = `{"model":"ledger","prompt":"x","max_tokens":1000000,"stream":true}`

func TestWithdrawalCutsRunningStream(t *testing.T) {
	for name, withdraw := range map[string]func(*fixture){
		"key":     func(f *fixture) { f.withdraw(configurator.SubjectKey, "crates-key") },
		"version": func(f *fixture) { f.withdraw(configurator.SubjectVersion, "ledger/1") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, fixtureConfig{
				engine: runner.Config{
					TokenInterval: time.Millisecond,
				},
			})
			answer := f.send("POST", "/v1/completions", endlessStream)
			reader := bufio.NewReader(answer.Body)
			_, err := reader.ReadString('\n')
			is.NoErr(err)
			withdraw(f)
			rest, err := io.ReadAll(reader)
			is.True(errors.Is(err, io.ErrUnexpectedEOF))
			is.True(strings.Contains(string(rest), `"code":"withdrawn","outcome":"unknown"`))
			is.True(!strings.Contains(string(rest), "[DONE]"))
			waitEnd(f)
			is.Equal(f.engines[0].Requests()[0].End, runner.EndCancelled)
		})
	}
}

// waitEnd waits until the engine has recorded the end of a request in its journal.
func waitEnd(f *fixture) {
	for range 10_000 {
		if len(f.engines[0].Requests()) > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	f.t.Fatal("the engine recorded no request in its journal")
}

func TestWithdrawnKeyIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, fixtureConfig{})
	f.withdraw(configurator.SubjectKey, "crates-key")
	answer := f.send("POST", "/v1/completions", endlessStream)
	is.Equal(answer.StatusCode, http.StatusUnauthorized)
	refusal := f.decodeRefusal(answer)
	is.Equal(refusal.Error.Code, refuser.CodeWithdrawn)
	is.Equal(refusal.Error.Outcome, refuser.NotRun)
	is.Equal(len(f.engines[0].Requests()), 0)
}

func TestRunningCallThatMustNotRepeatFinishes(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}), make(chan struct{})
	f := newFixture(t, fixtureConfig{
		services: 1,
		wrap: func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				close(entered)
				<-release
				next.ServeHTTP(w, r)
			})
		},
	})
	answered := make(chan *http.Response)
	go func() { answered <- f.send("POST", "/crates/returns", "9") }()
	<-entered
	f.withdraw(configurator.SubjectKey, "crates-key")
	close(release)
	answer := <-answered
	is.Equal(answer.StatusCode, http.StatusOK)
	is.Equal(len(f.services[0].Calls()), 1)
}

func TestBrokenStreamIsResumedOrEndsWithAnError(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, fixtureConfig{})
	f.engines[0].Faults().Set(faulter.Fault{
		Kind:  faulter.Lost,
		Count: 2,
		After: 3,
	})
	body := `{"model":"ledger","prompt":"x","max_tokens":9,"stream":true}`
	stream := readAll(t, f.send("POST", "/v1/completions", body))
	is.Equal(streamText(stream), runner.Text(checkpoint, "x", 9))
	is.True(strings.HasSuffix(stream, "data: [DONE]\n\n"))

	f.engines[0].Faults().Set(faulter.Fault{
		Kind:  faulter.Lost,
		Count: -1,
		After: 1,
	})
	answer := f.send("POST", "/v1/completions", body)
	rest, err := io.ReadAll(answer.Body)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(strings.Contains(string(rest), `"code":"upstream_failed","outcome":"unknown"`))
	is.True(!strings.Contains(string(rest), "[DONE]"))
	is.True(strings.HasPrefix(runner.Text(checkpoint, "x", 9), streamText(string(rest))))
}
