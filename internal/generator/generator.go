// Package generator is a load generator: in one run it sends requests to an
// engine directly and through an entry instance, verifies every answer and
// measures the overhead of the instance.
package generator

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The bounds of the histograms, in microseconds.
const (
	minLatency        = 1
	maxLatency        = int64(60 * time.Second / time.Microsecond)
	significantDigits = 3
)

// Generator generates load and measures the answers.
type Generator struct {
	config Config
	client *http.Client
	// sequence numbers the prompts, so that each is different.
	sequence atomic.Int64
}

// New returns a Generator.
func New(config Config) *Generator {
	if config.Now == nil {
		config.Now = time.Now
	}
	config.Rounds = max(config.Rounds, 1)
	config.Requests = max(config.Requests, 1)
	return &Generator{
		config: config,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: config.Streams,
				DisableCompression:  true,
			},
		},
	}
}

// newRoute returns a route to the completions of a base URL, without statistics.
func (g *Generator) newRoute(url, model, secret string) *route {
	return &route{
		generator: g,
		url:       url + "/v1/completions",
		model:     model,
		secret:    secret,
		stats: RouteStats{
			First: hdrhistogram.New(minLatency, maxLatency, significantDigits),
			Whole: hdrhistogram.New(minLatency, maxLatency, significantDigits),
		},
	}
}

// Run measures both routes in alternating rounds, after one round on each that
// opens the connections and is not counted. It returns the context's error if
// that ended first.
func (g *Generator) Run(ctx context.Context) (Report, error) {
	direct := g.newRoute(g.config.Engine, g.config.Checkpoint, "")
	entry := g.newRoute(g.config.Entry, g.config.Model, g.config.Secret)
	for _, r := range []*route{direct, entry} {
		g.newRoute(r.url, r.model, r.secret).warmUp(ctx, r)
	}
	for range g.config.Rounds {
		direct.runRound(ctx)
		entry.runMeasuredRound(ctx)
		if err := ctx.Err(); err != nil {
			return Report{}, err
		}
	}
	return Report{
		Direct: direct.stats,
		Entry:  entry.stats,
	}, nil
}
