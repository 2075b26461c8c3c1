package coldstarter

import (
	"fmt"
	"io"
	"time"
)

// kvCacheDays is the number of simulated days over which requests are counted.
const kvCacheDays = 3

// tokenBytes are the bytes of KV cache per token for models of three sizes: two
// bytes per number, times two for keys and values, times layers, KV heads and head
// size.
var tokenBytes = []int64{
	2 * 2 * 28 * 4 * 128,
	2 * 2 * 32 * 8 * 128,
	2 * 2 * 80 * 8 * 128,
}

// prefillSpeeds are prefill speeds of engines, in tokens per second.
var prefillSpeeds = []int64{1000, 4000, 16000}

// kvCacheFigures holds what determines the benefit of moving KV cache between engines.
type kvCacheFigures struct {
	// requests is the number of requests.
	requests int
	// openSessions is the mean number of sessions that will send a further request.
	openSessions float64
	// tokens is the mean number of tokens in the contexts of these sessions.
	contextTokens float64
	// maxContext is the longest context, in tokens.
	maxContext int
	// overlapping is the number of requests that arrive while another one runs on
	// the same copy.
	overlapping int
}

// KVCacheMoves writes, for both sites, how much KV cache an engine holds when it leaves
// and how often requests overlap on one copy. Then it writes, for each KV cache
// size per token and each prefill speed, the break-even bandwidth above which
// moving KV cache is faster than prefilling the same tokens again. The
// break-even does not depend on the context's length.
func KVCacheMoves(out io.Writer) error {
	for _, site := range sites {
		m := site.kvCacheFigures()
		engines := float64(site.Engines)
		_, err := fmt.Fprintf(out, "site=%s requests=%d overlapping=%.4f sessions_engine=%.3f tokens_engine=%.0f longest=%d\n",
			site.Name, m.requests, float64(m.overlapping)/float64(m.requests), m.openSessions/engines, m.contextTokens/engines, m.maxContext)
		if err != nil {
			return err
		}
		for _, speed := range prefillSpeeds {
			_, err := fmt.Fprintf(out, "site=%s prefill_tokens_second=%d prefill_seconds_leave=%.3f\n",
				site.Name, speed, m.contextTokens/engines/float64(speed))
			if err != nil {
				return err
			}
		}
	}
	for _, size := range tokenBytes {
		for _, speed := range prefillSpeeds {
			if _, err := fmt.Fprintf(out, "token_bytes=%d prefill_tokens_second=%d breakeven_mb_second=%.0f\n",
				size, speed, float64(size*speed)/1e6); err != nil {
				return err
			}
		}
	}
	return nil
}

// kvCacheFigures computes the figures of a site over full days.
func (s Site) kvCacheFigures() kvCacheFigures {
	var m kvCacheFigures
	for range kvCacheDays {
		running := map[arrival]time.Duration{}
		for _, request := range s.arrivals(day) {
			m.requests++
			contextTokens := (request.turn + 1) * requestTokens
			m.maxContext = max(m.maxContext, contextTokens)
			share := request.gap.Seconds() / day.Seconds() / kvCacheDays
			m.openSessions += share
			m.contextTokens += share * float64(contextTokens)
			copyKey := arrival{
				domain: request.domain,
				model:  request.model,
			}
			if request.at < running[copyKey] {
				m.overlapping++
			}
			running[copyKey] = request.at + runTime
		}
		s.Seed += 10
	}
	return m
}
