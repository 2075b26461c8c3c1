package router

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/balancer"
	"github.com/buckthorngap/buckthorngap/internal/pacer"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// observationTTL is how long a load that an answer stated stays valid: most requests bring an answer,
// and a stream lasts a second or two.
const observationTTL = 2 * time.Second

// upstream holds the address, load and circuit of one upstream.
type upstream struct {
	name string
	// hash is the hash of the name, for rendezvous hashing.
	hash uint64
	// service is the name of the service that the upstream runs; may be empty for engines.
	service atomic.Pointer[string]
	// version is the version of the upstream's software.
	version atomic.Pointer[string]
	// engine is set if the upstream runs models.
	engine atomic.Bool
	// domain is the upstream's failure domain.
	domain atomic.Pointer[string]
	// evacuated is set while the upstream's failure domain is evacuated.
	evacuated atomic.Bool
	// sameDomain is set if the upstream is in this instance's failure domain.
	sameDomain atomic.Bool
	// cache models the engine's prompt cache.
	cache    *promptCache
	snapshot atomic.Pointer[snapshot]

	mu      sync.Mutex
	address netip.AddrPort
	// retired is set if the upstream is leaving by the platform's list, no longer listed, or in an evacuated failure domain.
	retired bool
	// capacity is the number of slots.
	capacity int
	// otherRequests is the reported load without this instance's own requests.
	otherRequests int
	// observedAt is when an answer last stated the load; zero if none did or the load has expired.
	observedAt time.Time
	// estimator estimates the present load from what answers stated.
	estimator balancer.Estimator
	// tokens is the memory that this instance's own requests occupy, in tokens.
	tokens int64
	// running is the number of this instance's own requests.
	running int
	// history holds past values of running.
	history runningHistory

	// failures is the number of consecutive failures.
	failures int
	// openUntil is the end of the circuit's cooldown; zero while the circuit is closed.
	openUntil time.Time
	// pause is when the upstream wants no requests of this instance.
	pause pause
	// probing is set while the one probe of an open circuit runs.
	probing bool
	// overrides holds loads and unloads that the upstream's report may not show yet.
	overrides map[overrideKey]override
}

func newUpstream(name string, capacity int) *upstream {
	u := &upstream{
		name:     name,
		hash:     hashString(name),
		capacity: capacity,
		cache:    newPromptCache(),
	}
	u.snapshot.Store(&snapshot{})
	u.domain.Store(new(string))
	u.version.Store(new(string))
	return u
}

// paced identifies the upstream's current start to the pacer.
func (u *upstream) paced() pacer.Upstream {
	return pacer.Upstream{
		Name:   u.name,
		Start:  u.snapshot.Load().start,
		Domain: *u.domain.Load(),
	}
}

// applyListing applies the upstream's entry in the platform's list.
func (u *upstream) applyListing(row storer.Instance, domain string) {
	u.service.Store(&row.Service)
	u.version.Store(&row.Version)
	u.engine.Store(row.Role == storer.RoleEngine)
	u.domain.Store(&row.Domain)
	u.evacuated.Store(row.Evacuated)
	u.sameDomain.Store(row.Domain == domain)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.address = row.Address
	u.retired = row.Leaving || row.Evacuated
}

// retire stops new requests to an upstream that is no longer listed.
func (u *upstream) retire() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retired = true
}

// leaving reports whether the upstream gets no new requests: it is leaving, by the platform's list or its own report, no
// longer listed, or in an evacuated failure domain.
func (u *upstream) leaving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.retired || u.snapshot.Load().leaving
}

// applyReport applies a load report unless it is an old one. From the reported load it subtracts the
// requests that this instance had running when the report was made, because its own count of them is
// exact. It reports whether the index must be rebuilt and whether a full upstream has a free slot again.
func (u *upstream) applyReport(report reporter.Report, received, now time.Time, capacity int) (rebuild, freed bool) {
	old := u.snapshot.Load()
	if old.start == report.Start && old.sequence >= report.Sequence && report.Sequence != 0 {
		return false, false
	}
	next := &snapshot{
		ready:    readyCopies(report),
		sequence: report.Sequence,
		start:    report.Start,
		leaving:  report.Leaving,
	}
	if report.Slots > 0 {
		capacity = report.Slots
	}
	u.mu.Lock()
	if old.start != report.Start {
		u.overrides = nil
		u.pause.until = time.Time{}
	}
	next = next.withOverrides(u.overrides, now)
	wasFull := u.load() >= u.capacity
	u.capacity = capacity
	if !report.At.IsZero() {
		own := u.history.runningAt(u.history.localTime(report.At, received), u.running)
		u.otherRequests = max(0, report.Running+report.Waiting-own)
	}
	if old.start != report.Start {
		u.cache.clear()
		u.estimator.Forget()
	}
	freed = wasFull && u.load() < u.capacity
	u.snapshot.Store(next)
	u.mu.Unlock()
	return old.leaving != next.leaving || !sameCopies(old.ready, next.ready), freed
}

// canServe reports whether the upstream serves the checkpoint or service of a request,
// with the adapter unless that may be loaded first.
func (u *upstream) canServe(need *Need) bool {
	current := u.snapshot.Load()
	if current.leaving || !need.suits(u) || need.Service != "" && *u.service.Load() != need.Service {
		return false
	}
	if need.Checkpoint == "" {
		return true
	}
	adapters, ok := current.ready[need.Checkpoint]
	if !ok || need.Adapter == "" || need.AllowMissingAdapter {
		return ok
	}
	_, ok = adapters[need.Adapter]
	return ok
}

// hasAdapter reports whether the adapter of a request is ready.
func (u *upstream) hasAdapter(need *Need) bool {
	_, ok := u.snapshot.Load().ready[need.Checkpoint][need.Adapter]
	return ok
}

// observe records the load that the upstream stated at a time, and returns the number of its requests of other instances.
func (u *upstream) observe(at time.Time, load balancer.Load) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	others := max(0, load.Running+load.Waiting-u.history.runningAt(at, u.running))
	u.estimator.Observe(at, load, others)
	if at.Before(u.observedAt) {
		return others
	}
	if load.Slots > 0 {
		u.capacity = load.Slots
	}
	u.otherRequests = others
	u.observedAt = at
	return others
}

// expireObservation resets the load of other instances if it was stated in an answer longer than
// observationTTL ago.
func (u *upstream) expireObservation(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.observedAt.IsZero() && now.Sub(u.observedAt) > observationTTL {
		u.otherRequests = 0
		u.observedAt = time.Time{}
	}
}

// load returns the number of requests that run or wait at the upstream; the caller holds mu.
func (u *upstream) load() int { return u.otherRequests + u.running }

// busy returns the number of requests that run or wait at the upstream.
func (u *upstream) busy() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.load()
}

// free returns the number of free slots.
func (u *upstream) free() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(0, u.capacity-u.load())
}

func (u *upstream) slots() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.capacity
}

// available reports whether the upstream accepts a request now.
func (u *upstream) available(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.availableLocked(now)
}

// availableLocked is available for callers that hold mu.
func (u *upstream) availableLocked(now time.Time) bool {
	if u.retired || u.load() >= u.capacity || !u.pause.allows(now) {
		return false
	}
	return u.openUntil.IsZero() || !u.probing && !now.Before(u.openUntil)
}

// acquire takes a slot if the upstream accepts a request. The request is a probe
// if the cooldown of an open circuit has ended; only one probe runs at a time.
func (u *upstream) acquire(now time.Time, tokens int64) (address netip.AddrPort, probe, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.availableLocked(now) {
		return netip.AddrPort{}, false, false
	}
	probe = !u.openUntil.IsZero()
	u.probing = probe
	u.running++
	u.pause.count(now)
	u.tokens += tokens
	u.history.add(now, u.running)
	return u.address, probe, true
}

// release releases the slot of a request and updates the circuit. It reports whether the upstream was
// full or its circuit open before, so that waiting requests may find a slot now.
func (u *upstream) release(config Config, result Result, probe bool, tokens int64) bool {
	now := config.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	wasFull := u.load() >= u.capacity
	u.running--
	u.tokens -= tokens
	u.history.add(now, u.running)
	if probe {
		u.probing = false
	}
	switch result {
	case Good:
		u.failures = 0
		wasFull = wasFull || !u.openUntil.IsZero()
		u.openUntil = time.Time{}
	case Bad:
		u.failures++
		if u.failures >= config.FailureThreshold {
			u.openUntil = now.Add(config.Cooldown)
		}
	case Unreachable:
		u.failures = max(u.failures+1, config.FailureThreshold)
		u.openUntil = now.Add(config.Cooldown)
	case Neutral:
	}
	return wasFull
}
