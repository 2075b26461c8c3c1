package pacer

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// Pacer knows the limits that upstreams state.
type Pacer struct {
	config  Config
	metrics pacerMetrics
	// known is the number of gates, readable without the lock.
	known atomic.Int64

	mu    sync.RWMutex
	gates map[Upstream]*gate
}

// New returns a Pacer that knows no limits.
func New(config Config) *Pacer {
	return &Pacer{
		config:  config.withDefaults(),
		metrics: newPacerMetrics(),
		gates:   map[Upstream]*gate{},
	}
}

// Observe records what an answer of an upstream states.
func (p *Pacer) Observe(upstream Upstream, statement Statement) {
	g := p.gate(upstream)
	if g == nil {
		if !statement.Limited {
			return
		}
		g = p.addGate(upstream)
	}
	if !g.observe(p.config.Now(), statement) {
		return
	}
	p.metrics.statements.Inc()
	p.config.Log.WithFields(logrus.Fields{
		"upstream": upstream.Name,
		"limited":  statement.Limited,
		"rate":     statement.Rate,
	}).Info("upstream.limit")
}

// CountSent counts a request that is sent to an upstream; repeated is set for a retry.
func (p *Pacer) CountSent(upstream Upstream, repeated bool) {
	g := p.gate(upstream)
	if g == nil || !g.countSent(repeated) {
		return
	}
	if repeated {
		p.metrics.repeated.Inc()
		return
	}
	p.metrics.first.Inc()
}

// gate returns the gate of an upstream, or nil if it has never stated a limit.
func (p *Pacer) gate(upstream Upstream) *gate {
	if p.known.Load() == 0 {
		return nil
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.gates[upstream]
}

// addGate returns the gate of an upstream and creates it if necessary.
func (p *Pacer) addGate(upstream Upstream) *gate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.gates[upstream]; g != nil {
		return g
	}
	g := &gate{
		upstream: upstream,
	}
	p.gates[upstream] = g
	p.known.Store(int64(len(p.gates)))
	return g
}

// list returns all gates.
func (p *Pacer) list() []*gate {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return slices.Collect(maps.Values(p.gates))
}
