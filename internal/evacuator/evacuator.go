package evacuator

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	// maxCopyAge is the largest expected age of a copy from which the store is restored, and the time in which operators
	// write again what it lacks.
	maxCopyAge = time.Minute
	// maxDomains limits the number of failure domains whose state is kept.
	maxDomains = 256
)

// Evacuator knows the evacuated failure domains from the updates of a follower.
type Evacuator struct {
	config  Config
	changes *metrics.Counter

	mu     sync.Mutex
	states map[string]State
}

// New returns an Evacuator that knows no evacuated failure domain.
func New(config Config) *Evacuator {
	e := &Evacuator{
		config:  config.complete(),
		changes: metrics.GetOrCreateCounter(`buckthorngap_evacuation_changes_total`),
		states:  map[string]State{},
	}
	metrics.GetOrCreateGauge(`buckthorngap_evacuated_domains`, func() float64 { return float64(len(e.Domains())) })
	return e
}

// Tracks reports whether a key of the store is that of an evacuation.
func (e *Evacuator) Tracks(key string) bool {
	return e.config.Prefix != "" && strings.HasPrefix(key, e.config.Prefix)
}

// Evacuated reports whether a failure domain is evacuated.
func (e *Evacuator) Evacuated(domain string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.states[domain]
	return state.Evacuated && !state.over(e.config.Now())
}

// Domains returns the evacuated failure domains, sorted.
func (e *Evacuator) Domains() []string {
	now := e.config.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var domains []string
	for domain, state := range e.states {
		if state.Evacuated && !state.over(now) {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// Apply applies an update of a follower.
func (e *Evacuator) Apply(update follower.Update) {
	if e.config.Prefix == "" {
		return
	}
	if e.apply(update) {
		e.config.Changed()
	}
}

// apply applies an update and reports whether it changed a failure domain.
func (e *Evacuator) apply(update follower.Update) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := false
	present := map[string]bool{}
	for _, entry := range update.Entries {
		if domain, ok := strings.CutPrefix(entry.Key, e.config.Prefix); ok {
			present[domain] = true
			changed = e.put(domain, true, entry.Revision, update.Restored) || changed
		}
	}
	for _, key := range update.Deleted {
		if domain, ok := strings.CutPrefix(key, e.config.Prefix); ok && !present[domain] {
			changed = e.put(domain, false, update.Revision, false) || changed
		}
	}
	if !update.Complete {
		return changed
	}
	for domain := range e.states {
		if !present[domain] {
			changed = e.miss(domain, update) || changed
		}
	}
	return changed
}

// miss handles a failure domain without an entry in the complete state of the store. A store that was restored from a copy
// may lack the entry of a domain that is evacuated, until the operator has written it again.
func (e *Evacuator) miss(domain string, update follower.Update) bool {
	state := e.states[domain]
	now := e.config.Now()
	switch {
	case !state.Evacuated:
		return false
	case update.Restored:
		state.HeldUntil, state.Revision = now.Add(maxCopyAge), update.Revision
		e.states[domain] = state
		e.log(state).WithField("until", state.HeldUntil).Warn("evacuation.held")
		return false
	case now.Before(state.HeldUntil):
		return false
	default:
		return e.put(domain, false, update.Revision, false)
	}
}

// put records the state of a failure domain at a revision, unless a later one is known, and reports whether it changed.
// Restored is set for an entry of a restored store.
func (e *Evacuator) put(domain string, evacuated bool, revision storer.Revision, restored bool) bool {
	former, known := e.states[domain]
	state := State{
		Domain:    domain,
		Evacuated: evacuated,
		Revision:  revision,
		Since:     e.config.Now(),
	}
	if known && state.precedes(former, restored) {
		if restored {
			former.Revision = revision // what the copy holds stays outdated
			e.states[domain] = former
		}
		return false
	}
	if !known && len(e.states) >= maxDomains {
		e.log(state).Warn("evacuation.excess")
		return false
	}
	changed := former.Evacuated != evacuated
	if !changed {
		state.Since = former.Since
	}
	e.states[domain] = state
	if changed {
		e.changes.Inc()
		e.log(state).Info("evacuation")
	}
	return changed
}

// log returns the logger for a state.
func (e *Evacuator) log(state State) *logrus.Entry {
	return e.config.Log.WithFields(logrus.Fields{
		"evacuated": state.Evacuated,
		"of":        state.Domain,
		"revision":  state.Revision,
	})
}

// Dump returns the states for operators, sorted by failure domain.
func (e *Evacuator) Dump() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	states := make([]State, 0, len(e.states))
	for _, domain := range slices.Sorted(maps.Keys(e.states)) {
		states = append(states, e.states[domain])
	}
	return states
}
