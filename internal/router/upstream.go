package router

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// observationTTL is how long a load observed in an answer stays valid: most requests
// bring an answer, and a stream lasts a second or two.
const observationTTL = 2 * time.Second

// snapshot is the state from an upstream's latest report, with notes applied. It is
// immutable.
type snapshot struct {
	// ready maps each ready checkpoint to the set of its ready adapters.
	ready    map[string]map[string]struct{}
	sequence uint64
	// start identifies the start of the upstream's process; it changes on a restart.
	start   string
	leaving bool
}

// upstream holds the address, load and circuit of one upstream.
type upstream struct {
	name string
	// hash is that of the name, for rendezvous hashing.
	hash    uint64
	service atomic.Pointer[string]
	engine  atomic.Bool
	// sameDomain is set if it is in this instance's failure domain.
	sameDomain atomic.Bool
	// cache models the engine's prompt cache.
	cache    *promptCache
	snapshot atomic.Pointer[snapshot]

	mu      sync.Mutex
	address netip.AddrPort
	// retired is set if the upstream is leaving or no longer listed.
	retired bool
	// capacity is the number of slots.
	capacity int
	// others is the reported load without this instance's own requests.
	others int
	// observedAt is when an answer last stated the load; zero if none has, or it expired.
	observedAt time.Time
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
	// probing is set while the one probe of an open circuit runs.
	probing bool
	// notes holds loads and unloads that its report does not show yet.
	notes map[noteKey]note
}

func newUpstream(name string, capacity int) *upstream {
	u := &upstream{
		name:     name,
		hash:     hashString(name),
		capacity: capacity,
		cache:    newPromptCache(),
	}
	u.snapshot.Store(&snapshot{})
	return u
}

// applyListing applies the upstream's entry in the platform's list.
func (u *upstream) applyListing(row storer.Instance, domain string) {
	u.service.Store(&row.Service)
	u.engine.Store(row.Role == storer.RoleEngine)
	u.sameDomain.Store(row.Domain == domain)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.address = row.Address
	u.retired = row.Leaving
}

// retire stops new requests to an upstream that is no longer listed.
func (u *upstream) retire() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retired = true
}

func (u *upstream) leaving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.retired || u.snapshot.Load().leaving
}

// applyReport applies a load report. It subtracts the requests that this instance had
// running when the report was made, because its own count of them is exact.
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
		u.notes = nil
	}
	next = next.withNotes(u.notes, now)
	wasFull := u.load() >= u.capacity
	u.capacity = capacity
	if !report.At.IsZero() {
		own := u.history.runningAt(u.history.localTime(report.At, received), u.running)
		u.others = max(0, report.Running+report.Waiting-own)
	}
	if old.start != report.Start {
		u.cache.clear()
	}
	freed = wasFull && u.load() < u.capacity
	u.snapshot.Store(next)
	u.mu.Unlock()
	return old.leaving != next.leaving || !sameCopies(old.ready, next.ready), freed
}

// readyCopies returns the ready checkpoints of a report with their adapters.
func readyCopies(report reporter.Report) map[string]map[string]struct{} {
	ready := make(map[string]map[string]struct{}, len(report.Copies))
	for _, c := range report.Copies {
		if c.State != reporter.CopyReady {
			continue
		}
		adapters := make(map[string]struct{}, len(c.Adapters))
		for _, adapter := range c.Adapters {
			adapters[adapter] = struct{}{}
		}
		ready[c.Checkpoint] = adapters
	}
	return ready
}

// sameCopies reports whether two sets of ready checkpoints and adapters are equal.
func sameCopies(a, b map[string]map[string]struct{}) bool {
	if len(a) != len(b) {
		return false
	}
	for checkpoint, adapters := range a {
		others, ok := b[checkpoint]
		if !ok || len(others) != len(adapters) {
			return false
		}
		for adapter := range adapters {
			if _, ok := others[adapter]; !ok {
				return false
			}
		}
	}
	return true
}

// noteTTL is how long a note overrides the upstream's own report, which lags by a
// second or two.
const noteTTL = 3 * time.Second

// noteKey identifies the checkpoint or adapter that a note is about.
type noteKey struct {
	checkpoint string
	adapter    string
}

// addNote records that the upstream has loaded or unloaded a checkpoint or adapter.
func (u *upstream) addNote(now time.Time, checkpoint, adapter string, loaded bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.notes == nil {
		u.notes = map[noteKey]note{}
	}
	u.notes[noteKey{
		checkpoint: checkpoint,
		adapter:    adapter,
	}] = note{
		expiry: now.Add(noteTTL),
		loaded: loaded,
	}
	u.snapshot.Store(u.snapshot.Load().withNotes(u.notes, now))
}

// note states whether a checkpoint or adapter is loaded, until it expires.
type note struct {
	expiry time.Time
	loaded bool
}

// withNotes returns the snapshot with the notes applied. It deletes expired notes.
func (s *snapshot) withNotes(notes map[noteKey]note, now time.Time) *snapshot {
	if len(notes) == 0 {
		return s
	}
	next := *s
	next.ready = make(map[string]map[string]struct{}, len(s.ready))
	for checkpoint, adapters := range s.ready {
		next.ready[checkpoint] = maps.Clone(adapters)
	}
	for key, n := range notes {
		if now.After(n.expiry) {
			delete(notes, key)
			continue
		}
		next.apply(key, n.loaded)
	}
	return &next
}

// apply changes a snapshot that is not shared yet.
func (s *snapshot) apply(key noteKey, loaded bool) {
	adapters, known := s.ready[key.checkpoint]
	switch {
	case key.adapter == "" && loaded && !known:
		s.ready[key.checkpoint] = map[string]struct{}{}
	case key.adapter == "" && !loaded:
		delete(s.ready, key.checkpoint)
	case key.adapter == "" || !known:
	case loaded:
		adapters[key.adapter] = struct{}{}
	default:
		delete(adapters, key.adapter)
	}
}

// canServe reports whether the upstream serves the checkpoint or service of a request,
// with the adapter unless that may be loaded first.
func (u *upstream) canServe(need *Need) bool {
	current := u.snapshot.Load()
	if current.leaving || need.Service != "" && *u.service.Load() != need.Service {
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

// observe records the load that was read from an answer.
func (u *upstream) observe(now time.Time, busy, slots int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if slots > 0 {
		u.capacity = slots
	}
	u.others = max(0, busy-u.running)
	u.observedAt = now
}

// expireObservation drops the load that was read from an answer once that has expired.
func (u *upstream) expireObservation(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.observedAt.IsZero() && now.Sub(u.observedAt) > observationTTL {
		u.others = 0
		u.observedAt = time.Time{}
	}
}

// load returns the number of requests that run or wait there; the caller holds mu.
func (u *upstream) load() int { return u.others + u.running }

// busy returns the number of requests that run or wait there.
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
	if u.retired || u.load() >= u.capacity {
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
	u.tokens += tokens
	u.history.add(now, u.running)
	return u.address, probe, true
}

// release returns the slot of a request and updates the circuit. It reports whether
// waiting requests may find a free slot that they could not have before.
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
		if u.failures >= config.Failures {
			u.openUntil = now.Add(config.Cooling)
		}
	case Unreachable:
		u.failures = max(u.failures+1, config.Failures)
		u.openUntil = now.Add(config.Cooling)
	case Neutral:
	}
	return wasFull
}
