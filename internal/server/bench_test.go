package server_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/emulator/runner"
	"github.com/buckthorngap/buckthorngap/internal/generator"
)

// BenchmarkPath measures short non-streamed completions in sequence, sent directly to the engine and through the
// instance.
func BenchmarkPath(b *testing.B) {
	f := newFixture(b, fixtureConfig{
		engine: runner.Config{
			Slots:   10_000,
			Journal: 100,
		},
	})
	for name, c := range map[string]struct{ url, model string }{
		"direct": {
			url:   "http://" + f.upstreams[0].Address.String(),
			model: checkpoint,
		},
		"entry": {
			url:   f.address.URL,
			model: "ledger",
		},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				request, _ := http.NewRequest("POST", c.url+"/v1/completions", strings.NewReader(`{"model":"`+c.model+`","prompt":"x","max_tokens":1}`))
				request.Header.Set("Authorization", "Bearer "+secret)
				answer, err := http.DefaultClient.Do(request)
				if err != nil {
					b.Fatal(err)
				}
				readAll(b, answer)
				answer.Body.Close()
			}
		})
	}
}

// BenchmarkStreams measures the latency of the first token that the instance adds at 500 concurrent streams with a
// fixed token rate.
func BenchmarkStreams(b *testing.B) {
	f := newFixture(b, fixtureConfig{
		engine: runner.Config{
			Slots:           10_000,
			FirstTokenDelay: 20 * time.Millisecond,
			TokenInterval:   43 * time.Millisecond,
			Journal:         100,
		},
	})
	for b.Loop() {
		report, err := generator.New(generator.Config{
			Engine:     "http://" + f.upstreams[0].Address.String(),
			Checkpoint: checkpoint,
			Entry:      f.address.URL,
			Model:      "ledger",
			Secret:     secret,
			Streams:    500,
			Tokens:     20,
			Requests:   2,
			Rounds:     2,
			Stagger:    time.Second,
		}).Run(b.Context())
		if err != nil || report.Entry.Failed+report.Direct.Failed > 0 {
			b.Fatal(err, report.Entry.Failed, report.Direct.Failed)
		}
		b.ReportMetric(float64(report.Entry.First.ValueAtQuantile(50)-report.Direct.First.ValueAtQuantile(50)), "added_p50_us")
		b.ReportMetric(float64(report.Entry.First.ValueAtQuantile(99)-report.Direct.First.ValueAtQuantile(99)), "added_p99_us")
	}
}
