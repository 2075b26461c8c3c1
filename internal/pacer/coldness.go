package pacer

import (
	"time"

	"github.com/sirupsen/logrus"
)

// coldness is the time for which an engine that has started a short while ago is slow, and the limit on its requests in it.
type coldness struct {
	// until is the end of the time; zero if there is none.
	until time.Time
	// rate is the limit until then, in requests per second.
	rate float64
}

// holds reports whether the engine is cold.
func (c coldness) holds(now time.Time) bool { return now.Before(c.until) }

// ObserveCold records that an engine stays cold for a time, and takes a number of requests per second in it. Zero means that it is
// not cold.
func (p *Pacer) ObserveCold(upstream Upstream, left time.Duration, rate float64) {
	now := p.config.Now()
	g := p.gate(upstream)
	if g == nil {
		if left <= 0 {
			return
		}
		g = p.addGate(upstream)
	}
	if g.chill(now, coldness{
		until: now.Add(left),
		rate:  rate,
	}) {
		p.logCold(g)
		p.config.Changed()
	}
}

// ExtendCold is ObserveCold for a time that may be known to end later: it does not shorten that.
func (p *Pacer) ExtendCold(upstream Upstream, left time.Duration, rate float64) {
	until := p.config.Now().Add(left - relayTolerance)
	if g := p.gate(upstream); g != nil && !until.After(g.known().cold.until) {
		return
	}
	p.ObserveCold(upstream, left, rate)
}

// logCold counts and logs an engine that has become cold, or is not any more.
func (p *Pacer) logCold(g *gate) {
	now := p.config.Now()
	cold := g.known().cold
	if cold.holds(now) {
		p.metrics.cold.Inc()
	}
	p.config.Log.WithFields(logrus.Fields{
		"upstream": g.upstream.Name,
		"cold":     cold.holds(now),
		"rate":     cold.rate,
		"left":     cold.until.Sub(now),
	}).Info("upstream.cold")
}

// chill replaces what is known of the time in which the engine is cold, and reports whether it begins or ends with that.
func (g *gate) chill(now time.Time, c coldness) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	former := g.limit.cold
	g.limit.cold = c
	if former.holds(now) == c.holds(now) && former.rate == c.rate {
		return false
	}
	g.renew()
	return former.holds(now) || c.holds(now)
}
