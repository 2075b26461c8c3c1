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

// observation is how long what an answer told of an upstream's load counts: an
// answer comes with most requests, and a stream lasts a second or two.
const observation = 2 * time.Second

// view is what a report says of an upstream. It is never changed.
type view struct {
	// ready holds the ready checkpoints and the adapters that are ready beside them.
	ready    map[string]map[string]struct{}
	sequence uint64
	start    string
	leaving  bool
}

// upstream is one upstream of the own domain.
type upstream struct {
	name    string
	hash    uint64
	service atomic.Pointer[string]
	engine  atomic.Bool
	// near is set if it is in the own failure domain.
	near atomic.Bool
	kept *cache
	view atomic.Pointer[view]

	mu       sync.Mutex
	address  netip.AddrPort
	gone     bool
	capacity int
	// others is what the report says beyond this instance's own requests.
	others int
	// observed is when an answer told others; zero if a report did.
	observed time.Time
	// tokens is the memory that this instance's own requests take.
	tokens  int64
	running int
	history history

	failures int
	until    time.Time
	probing  bool
	// notes are what is known of it before it says so.
	notes map[noted]heldNote
}

func newUpstream(name string, capacity int) *upstream {
	u := &upstream{
		name:     name,
		hash:     hashString(name),
		capacity: capacity,
		kept:     newCache(),
	}
	u.view.Store(&view{})
	return u
}

func (u *upstream) list(row storer.Instance, domain string) {
	u.service.Store(&row.Service)
	u.engine.Store(row.Role == storer.RoleEngine)
	u.near.Store(row.Domain == domain)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.address = row.Address
	u.gone = row.Leaving
}

func (u *upstream) remove() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gone = true
}

func (u *upstream) leaving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.gone || u.view.Load().leaving
}

// report takes a load report. The requests that this instance had running when
// the report was true are subtracted, so that its own count can be exact.
func (u *upstream) report(report reporter.Report, received, now time.Time, capacity int) (rebuild, room bool) {
	old := u.view.Load()
	if old.start == report.Start && old.sequence >= report.Sequence && report.Sequence != 0 {
		return false, false
	}
	fresh := &view{
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
	fresh = fresh.with(u.notes, now)
	full := u.load() >= u.capacity
	u.capacity = capacity
	if !report.At.IsZero() {
		own := u.history.at(u.history.local(report.At, received), u.running)
		u.others = max(0, report.Running+report.Waiting-own)
	}
	if old.start != report.Start {
		u.kept.clear()
	}
	room = full && u.load() < u.capacity
	u.view.Store(fresh)
	u.mu.Unlock()
	return old.leaving != fresh.leaving || !sameCopies(old.ready, fresh.ready), room
}

func readyCopies(report reporter.Report) map[string]map[string]struct{} {
	ready := make(map[string]map[string]struct{}, len(report.Copies))
	for _, held := range report.Copies {
		if held.State != reporter.CopyReady {
			continue
		}
		adapters := make(map[string]struct{}, len(held.Adapters))
		for _, adapter := range held.Adapters {
			adapters[adapter] = struct{}{}
		}
		ready[held.Checkpoint] = adapters
	}
	return ready
}

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

// overlay is how long a note counts beside what the upstream says of itself,
// which lags by a second or two.
const overlay = 3 * time.Second

// noted is something that is known of an upstream before it says so.
type noted struct {
	checkpoint string
	adapter    string
}

// note remembers that the upstream holds something, or no longer does.
func (u *upstream) note(now time.Time, checkpoint, adapter string, held bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.notes == nil {
		u.notes = map[noted]heldNote{}
	}
	u.notes[noted{
		checkpoint: checkpoint,
		adapter:    adapter,
	}] = heldNote{
		until: now.Add(overlay),
		held:  held,
	}
	u.view.Store(u.view.Load().with(u.notes, now))
}

// heldNote tells whether something is held, until what the upstream says counts again.
type heldNote struct {
	until time.Time
	held  bool
}

// with is the view with what was noted since. Notes that are old are dropped.
func (v *view) with(notes map[noted]heldNote, now time.Time) *view {
	if len(notes) == 0 {
		return v
	}
	next := *v
	next.ready = make(map[string]map[string]struct{}, len(v.ready))
	for checkpoint, adapters := range v.ready {
		next.ready[checkpoint] = maps.Clone(adapters)
	}
	for key, one := range notes {
		if now.After(one.until) {
			delete(notes, key)
			continue
		}
		next.apply(key, one.held)
	}
	return &next
}

func (v *view) apply(key noted, held bool) {
	adapters, known := v.ready[key.checkpoint]
	switch {
	case key.adapter == "" && held && !known:
		v.ready[key.checkpoint] = map[string]struct{}{}
	case key.adapter == "" && !held:
		delete(v.ready, key.checkpoint)
	case key.adapter == "" || !known:
	case held:
		adapters[key.adapter] = struct{}{}
	default:
		delete(adapters, key.adapter)
	}
}

// has tells whether the upstream can run what a request needs.
func (u *upstream) has(need *Need) bool {
	current := u.view.Load()
	if current.leaving || need.Service != "" && *u.service.Load() != need.Service {
		return false
	}
	if need.Checkpoint == "" {
		return true
	}
	adapters, ok := current.ready[need.Checkpoint]
	if !ok || need.Adapter == "" || need.Fetch {
		return ok
	}
	_, ok = adapters[need.Adapter]
	return ok
}

// holds tells whether the adapter that a request needs is ready.
func (u *upstream) holds(need *Need) bool {
	_, ok := u.view.Load().ready[need.Checkpoint][need.Adapter]
	return ok
}

// observe takes what an answer told of the load.
func (u *upstream) observe(now time.Time, busy, slots int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if slots > 0 {
		u.capacity = slots
	}
	u.others = max(0, busy-u.running)
	u.observed = now
}

// age forgets what an answer told of the load once that is old.
func (u *upstream) age(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.observed.IsZero() && now.Sub(u.observed) > observation {
		u.others = 0
		u.observed = time.Time{}
	}
}

func (u *upstream) load() int { return u.others + u.running }

// busy is the number of requests that run or wait there.
func (u *upstream) busy() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.load()
}

// free is the number of free slots.
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

// open tells whether the upstream takes a request now.
func (u *upstream) open(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.admits(now)
}

func (u *upstream) admits(now time.Time) bool {
	if u.gone || u.load() >= u.capacity {
		return false
	}
	return u.until.IsZero() || !u.probing && !now.Before(u.until)
}

// take counts a request if the upstream takes it. It is a probe if the
// upstream's circuit is open and has cooled.
func (u *upstream) take(now time.Time, tokens int64) (address netip.AddrPort, probe, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.admits(now) {
		return netip.AddrPort{}, false, false
	}
	probe = !u.until.IsZero()
	u.probing = probe
	u.running++
	u.tokens += tokens
	u.history.add(now, u.running)
	return u.address, probe, true
}

// done ends a request and tells whether waiting ones may find new room.
func (u *upstream) done(config Config, result Result, probe bool, tokens int64) bool {
	now := config.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	full := u.load() >= u.capacity
	u.running--
	u.tokens -= tokens
	u.history.add(now, u.running)
	if probe {
		u.probing = false
	}
	switch result {
	case Good:
		u.failures = 0
		full = full || !u.until.IsZero()
		u.until = time.Time{}
	case Bad:
		u.failures++
		if u.failures >= config.Failures {
			u.until = now.Add(config.Cooling)
		}
	case Unreachable:
		u.failures = max(u.failures+1, config.Failures)
		u.until = now.Add(config.Cooling)
	case Neutral:
	}
	return full
}
