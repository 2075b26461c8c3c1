// Package adopter follows the configuration that an operator stores as one document, and puts
// each newer revision in force.
package adopter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Config configures an Adopter.
type Config struct {
	// Key is the key of the document.
	Key string
	// Decode decodes the document. A document for which it returns an error is ignored and
	// logged.
	Decode func(entry storer.Entry) (*configurator.Snapshot, error)
	// Call sends a message to another instance, from which the configuration is taken if the stored one is behind it.
	Call messenger.Caller
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log receives one line for each configuration that is put in force or rejected.
	Log logrus.FieldLogger
}

// Adopter holds the configuration in force on this instance, and replaces it when the stored
// document has a newer one.
type Adopter struct {
	config  Config
	current atomic.Pointer[configurator.Snapshot]
	ready   atomic.Bool

	mu          sync.Mutex
	subscribers []func(*configurator.Snapshot)
	// document is the stored document of the configuration in force.
	document []byte
	// ahead is the instance that was found to have a later revision in force; nil if there is none.
	ahead *peerAhead
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

// Current returns the configuration in force on this instance.
func (a *Adopter) Current() *configurator.Snapshot { return a.current.Load() }

// Ready reports whether a configuration has been put in force.
func (a *Adopter) Ready() bool { return a.ready.Load() }

// Subscribe registers a function that is called with each later configuration, in order. The
// function must not call Subscribe.
func (a *Adopter) Subscribe(subscriber func(*configurator.Snapshot)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.subscribers = append(a.subscribers, subscriber)
}

// Apply applies an update from a follower. Entries other than Config.Key are ignored.
func (a *Adopter) Apply(update follower.Update) {
	for _, entry := range update.Entries {
		if entry.Key == a.config.Key {
			a.install(entry, "")
		}
	}
}

// install puts a document in force if its revision is higher than the current one, because a
// stale read must not restore an older configuration. Source is the instance that the document came from; empty if it was the
// store.
func (a *Adopter) install(entry storer.Entry, source string) {
	start := a.config.Now()
	next, err := a.config.Decode(entry)
	log := a.config.Log.WithField("entry", entry.Revision)
	if source != "" {
		log = log.WithField("source", source)
	}
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
	a.document = entry.Value
	a.ready.Store(true)
	metrics.GetOrCreateCounter(`buckthorngap_config_installs_total`).Inc()
	for _, subscriber := range a.subscribers {
		subscriber(next)
	}
	log.WithFields(logrus.Fields{
		"revision": next.Revision(),
		"former":   current.Revision(),
		"bytes":    len(entry.Value),
		"took":     a.config.Now().Sub(start),
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

// State is the state of the configuration in a dump.
type State struct {
	// Known is set once a configuration has been put in force.
	Known bool `json:"known"`
	// Revision is the revision of the configuration in force.
	Revision uint64 `json:"revision"`
}
