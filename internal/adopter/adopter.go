// Package adopter holds the configuration that an operator writes into the
// store as one document.
package adopter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Config is what an Adopter needs.
type Config struct {
	// Key is the key of the document.
	Key string
	// Decode reads the document. A document that it returns an error for changes nothing.
	Decode func(entry storer.Entry) (*configurator.Snapshot, error)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log gets one line for each configuration that comes into force or is refused.
	Log logrus.FieldLogger
}

// Adopter holds the configuration in force here.
type Adopter struct {
	config  Config
	current atomic.Pointer[configurator.Snapshot]
	known   atomic.Bool

	mu          sync.Mutex
	subscribers []func(*configurator.Snapshot)
}

// New returns an Adopter with the empty configuration.
func New(config Config) *Adopter {
	if config.Now == nil {
		config.Now = time.Now
	}
	a := &Adopter{
		config: config,
	}
	a.current.Store(configurator.Empty())
	return a
}

// Current returns the configuration in force here.
func (a *Adopter) Current() *configurator.Snapshot { return a.current.Load() }

// Ready tells whether a configuration has been read.
func (a *Adopter) Ready() bool { return a.known.Load() }

// Subscribe has the function called with each later configuration, in order.
func (a *Adopter) Subscribe(subscriber func(*configurator.Snapshot)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.subscribers = append(a.subscribers, subscriber)
}

// Apply takes an update of a follower.
func (a *Adopter) Apply(update follower.Update) {
	for _, entry := range update.Entries {
		if entry.Key == a.config.Key {
			a.adopt(entry)
		}
	}
}

// adopt puts a document in force if it is newer than what is: a reading that
// lags must not bring an older one back.
func (a *Adopter) adopt(entry storer.Entry) {
	began := a.config.Now()
	next, err := a.config.Decode(entry)
	log := a.config.Log.WithField("entry", entry.Revision)
	if err != nil {
		metrics.GetOrCreateCounter(`buckthorngap_config_refused_total`).Inc()
		log.WithError(err).Error("configuration.unreadable")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.Current()
	if a.Ready() && next.Revision() <= current.Revision() {
		log.WithFields(logrus.Fields{
			"revision": next.Revision(),
			"current":  current.Revision(),
		}).Debug("configuration.older")
		return
	}
	a.current.Store(next)
	a.known.Store(true)
	metrics.GetOrCreateCounter(`buckthorngap_config_installs_total`).Inc()
	for _, subscriber := range a.subscribers {
		subscriber(next)
	}
	log.WithFields(logrus.Fields{
		"revision": next.Revision(),
		"former":   current.Revision(),
		"bytes":    len(entry.Value),
		"took":     a.config.Now().Sub(began),
	}).Info("configuration")
}

// Dump returns the state for operators.
func (a *Adopter) Dump() any {
	current := a.Current()
	return State{
		Known:    a.Ready(),
		Revision: current.Revision(),
	}
}

// State is what a dump tells of the configuration.
type State struct {
	// Known is set if a configuration was read.
	Known bool `json:"known"`
	// Revision is that of the configuration in force.
	Revision uint64 `json:"revision"`
}
