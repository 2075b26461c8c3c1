package server_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
	"github.com/buckthorngap/buckthorngap/internal/server"
)

// stopUnderLoad stops the instance while callers send requests over kept-alive connections. The callers go on for 50 ms
// after the instance reports unready, as a load balancer needs some time to notice. It returns how many requests were
// answered completely and how many were cut off.
func stopUnderLoad(t *testing.T, stop func(f *fixture) error) (complete, cut int64) {
	is := is.New(t)
	f := newFixture(t, fixtureConfig{
		engine: runner.Config{
			TokenInterval: 2 * time.Millisecond,
		},
		server: server.Config{
			DrainNotice: 200 * time.Millisecond,
		},
	})
	var noticed atomic.Bool
	var completeCount, cutCount atomic.Int64
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			client := &http.Client{
				Transport: &http.Transport{},
			}
			for !noticed.Load() {
				if streamOnce(client, f.address.URL) {
					completeCount.Add(1)
				} else {
					cutCount.Add(1)
				}
			}
		})
	}
	for completeCount.Load() < 32 {
		time.Sleep(time.Millisecond)
	}
	ended := make(chan error)
	go func() { ended <- stop(f) }()
	for f.server.Ready() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	noticed.Store(true)
	group.Wait()
	is.NoErr(<-ended)
	return completeCount.Load(), cutCount.Load()
}

// streamOnce requests a stream and reports whether it was received completely.
func streamOnce(client *http.Client, url string) bool {
	request, _ := http.NewRequest("POST", url+"/v1/completions", strings.NewReader(`{"model":"ledger","prompt":"x","max_tokens":20,"stream":true}`))
	request.Header.Set("Authorization", "Bearer "+secret)
	answer, err := client.Do(request)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return err == nil && answer.StatusCode == http.StatusOK && strings.HasSuffix(string(data), "data: [DONE]\n\n")
}

func TestShutdownUnderLoadCutsNothing(t *testing.T) {
	is := is.New(t)
	complete, cut := stopUnderLoad(t, func(f *fixture) error {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		return f.server.Drain(ctx)
	})
	is.True(complete >= 32)
	is.Equal(cut, int64(0))

	_, cut = stopUnderLoad(t, func(f *fixture) error {
		f.server.Unready()
		return f.server.Close()
	})
	is.True(cut > 0) // without the drain, requests are cut off
}
