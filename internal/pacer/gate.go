package pacer

import (
	"sync"
	"time"
)

// gate is what this instance knows of one upstream that has stated a limit.
type gate struct {
	upstream Upstream

	mu sync.Mutex
	// limited is set while the upstream states a limit, and rate is that limit in requests per second.
	limited bool
	rate    float64
	// statedAt is when an answer last stated the limit.
	statedAt time.Time
	// first and repeated count the requests that this instance has sent there since it knows of the limit.
	first    uint64
	repeated uint64
}

// observe applies a statement and reports whether it changed the limit. An answer without a limit ends
// the limit only if its request was sent after the last answer with one.
func (g *gate) observe(now time.Time, s Statement) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !s.Limited && !s.Sent.After(g.statedAt) {
		return false
	}
	changed := g.limited != s.Limited || g.rate != s.Rate
	g.limited, g.rate = s.Limited, s.Rate
	if s.Limited {
		g.statedAt = now
	}
	return changed
}

// countSent counts a request that is sent to the upstream, and reports whether the upstream has a limit.
func (g *gate) countSent(repeated bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.limited:
	case repeated:
		g.repeated++
	default:
		g.first++
	}
	return g.limited
}
