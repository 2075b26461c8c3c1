package drainer

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/informer"
)

// Drainer decides which departures are new to this instance, and has them passed on to the others.
type Drainer struct {
	config  Config
	metrics drainerMetrics
}

// New returns a Drainer.
func New(config Config) *Drainer {
	return &Drainer{
		config:  config.complete(),
		metrics: newDrainerMetrics(),
	}
}

// Observe records that an answer of an upstream told that it leaves.
func (d *Drainer) Observe(departure Departure) {
	now := d.config.Now()
	if d.learn(departure, now, "", d.metrics.answered) {
		d.config.Tell(informer.Fact{
			Kind:    informer.Leaves,
			Subject: departure.Upstream,
			Start:   departure.Start,
			Address: departure.Address,
			Seen:    now,
		})
	}
}

// Learn records a departure that another instance has told, and reports whether it is new.
func (d *Drainer) Learn(fact informer.Fact, peer string) bool {
	return d.learn(Departure{
		Upstream: fact.Subject,
		Start:    fact.Start,
		Address:  fact.Address,
	}, fact.Seen, peer, d.metrics.told)
}

// learn stops new requests to an upstream, and reports whether that was not done before. The peer is the instance that told the
// departure; empty if it was learned from an answer.
func (d *Drainer) learn(departure Departure, observed time.Time, peer string, counter *metrics.Counter) bool {
	if !d.config.Leave(departure) {
		return false
	}
	counter.Inc()
	d.config.Log.WithFields(logrus.Fields{
		"upstream": departure.Upstream,
		"start":    departure.Start,
		"address":  departure.Address,
		"peer":     peer,
		"age":      d.config.Now().Sub(observed),
	}).Info("upstream.departing")
	return true
}
