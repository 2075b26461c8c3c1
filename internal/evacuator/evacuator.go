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
	"github.com/buckthorngap/buckthorngap/internal/informer"
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
	for _, change := range e.apply(update) {
		e.config.Tell(change.fact())
		e.config.Changed(change)
	}
}

// Learn applies what another instance has read, and reports whether it is new.
func (e *Evacuator) Learn(fact informer.Fact, peer string) bool {
	if e.config.Prefix == "" {
		return false
	}
	state := State{
		Domain:    fact.Subject,
		Evacuated: fact.Kind == informer.Evacuated,
		Revision:  fact.Revision,
		Since:     fact.Seen,
	}
	e.mu.Lock()
	changed := e.put(state, false, peer)
	e.mu.Unlock()
	if changed {
		e.config.Changed(state)
	}
	return changed
}

// apply applies an update and returns the states that it changed.
func (e *Evacuator) apply(update follower.Update) []State {
	now := e.config.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	next := map[string]State{}
	for _, key := range update.Deleted {
		e.add(next, key, State{
			Revision: update.Revision,
			Since:    now,
		})
	}
	for _, entry := range update.Entries {
		e.add(next, entry.Key, State{
			Evacuated: true,
			Revision:  entry.Revision,
			Since:     now,
		})
	}
	if update.Complete {
		e.addMissing(next, now, update)
	}
	var changes []State
	for _, state := range next {
		if e.put(state, update.Restored && state.Evacuated, "") {
			changes = append(changes, state)
		}
	}
	return changes
}

// add adds the state of the failure domain that a key of the store names, if it names one.
func (e *Evacuator) add(next map[string]State, key string, state State) {
	if domain, ok := strings.CutPrefix(key, e.config.Prefix); ok && domain != "" {
		state.Domain = domain
		next[domain] = state
	}
}

// addMissing adds the states of evacuated failure domains that have no entry in the complete state of the store. A store that
// was restored from a copy may lack the entry of a domain that is evacuated, until the operator has written it again.
func (e *Evacuator) addMissing(next map[string]State, now time.Time, update follower.Update) {
	for domain, state := range e.states {
		if _, present := next[domain]; present || !state.Evacuated || now.Before(state.HeldUntil) {
			continue
		}
		if update.Restored {
			state.HeldUntil, state.Revision = now.Add(maxCopyAge), update.Revision
			e.states[domain] = state
			e.log(state).WithField("until", state.HeldUntil).Warn("evacuation.held")
			continue
		}
		next[domain] = State{
			Domain:   domain,
			Revision: update.Revision,
			Since:    now,
		}
	}
}

// put records a state unless a later one is known, and reports whether the failure domain was evacuated or taken back by it.
// Restored is set for an entry of a restored store. The peer is the instance that told it; empty if it was read.
func (e *Evacuator) put(state State, restored bool, peer string) bool {
	former, known := e.states[state.Domain]
	if known && state.precedes(former, restored) {
		if restored {
			former.Revision, former.HeldUntil = state.Revision, time.Time{} // what the copy holds stays outdated
			e.states[state.Domain] = former
		}
		return false
	}
	if !known && len(e.states) >= maxDomains {
		e.log(state).Warn("evacuation.excess")
		return false
	}
	changed := former.Evacuated != state.Evacuated
	if !changed {
		state.Since = former.Since
	}
	e.states[state.Domain] = state
	if changed {
		e.changes.Inc()
		e.log(state).WithField("peer", peer).Info("evacuation")
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
