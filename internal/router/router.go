// Package router chooses the upstream of a request: among the ready copies of
// the very version that it needs, by what load reports say and what this
// instance has sent since, and around upstreams that fail or leave.
package router

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Router chooses upstreams.
type Router struct {
	config Config
	budget *budget
	hints  *hints
	index  atomic.Pointer[index]

	mu        sync.Mutex
	upstreams map[string]*upstream
}

// New returns a Router without upstreams; Refresh reads them.
func New(config Config) *Router {
	config = config.withDefaults()
	r := &Router{
		config:    config,
		budget:    newBudget(config.Retries, config.Saved),
		hints:     newHints(),
		upstreams: map[string]*upstream{},
	}
	r.index.Store(&index{})
	return r
}

// Refresh reads the platform's list and all reports again.
func (r *Router) Refresh() {
	r.mu.Lock()
	listed := map[string]bool{}
	for _, row := range r.config.Upstreams() {
		if row.Role == storer.RoleEntry || row.Domain != r.config.Domain && !r.config.Across {
			continue
		}
		listed[row.Name] = true
		u := r.upstreams[row.Name]
		if u == nil {
			u = newUpstream(row.Name, r.config.Running)
			r.upstreams[row.Name] = u
		}
		row.Leaving = row.Leaving && !r.config.Stay
		u.list(row, r.config.Domain)
		u.age(r.config.Now())
		r.read(u)
	}
	for name, u := range r.upstreams {
		if !listed[name] {
			u.remove()
			delete(r.upstreams, name)
		}
	}
	r.build()
	r.mu.Unlock()
	r.config.Changed()
}

// Update reads the report of one upstream again.
func (r *Router) Update(name string) {
	r.mu.Lock()
	u := r.upstreams[name]
	if u == nil {
		r.mu.Unlock()
		return
	}
	rebuild, room := r.read(u)
	if rebuild {
		r.build()
	}
	r.mu.Unlock()
	if rebuild || room {
		r.config.Changed()
	}
}

// read takes an upstream's report and tells whether the index must be built
// again and whether the upstream has new room.
func (r *Router) read(u *upstream) (rebuild, room bool) {
	report, received, ok := r.config.Report(u.name)
	if !ok {
		return false, false
	}
	report.Leaving = report.Leaving && !r.config.Stay
	return u.report(report, received, r.config.Now(), r.config.Running)
}

// build makes the index of all upstreams that take new work.
func (r *Router) build() {
	built := &index{
		engines:  map[string][]*upstream{},
		services: map[string][]*upstream{},
	}
	names := make([]string, 0, len(r.upstreams))
	for name := range r.upstreams {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		u := r.upstreams[name]
		view := u.view.Load()
		if u.leaving() {
			continue
		}
		if service := *u.service.Load(); service != "" {
			built.services[service] = append(built.services[service], u)
		}
		if !u.engine.Load() {
			continue
		}
		for checkpoint := range view.ready {
			built.engines[checkpoint] = append(built.engines[checkpoint], u)
		}
	}
	r.index.Store(built)
}

// Note tells that an upstream holds something, or no longer does, before what
// it says of itself shows that. An empty adapter means the checkpoint.
func (r *Router) Note(upstream, checkpoint, adapter string, held bool) {
	r.mu.Lock()
	u := r.upstreams[upstream]
	if u == nil {
		r.mu.Unlock()
		return
	}
	u.note(r.config.Now(), checkpoint, adapter, held)
	if adapter == "" {
		r.build()
	}
	r.mu.Unlock()
	if held {
		r.config.Changed()
	}
}

// Return takes a place at an upstream that turned out to lack the adapter of a
// request. It returns false if the upstream takes none.
func (r *Router) Return(upstream string, need Need) (*Choice, bool) {
	r.mu.Lock()
	u := r.upstreams[upstream]
	r.mu.Unlock()
	need.Exclude = nil
	need.Fetch = true
	if u == nil || !r.usable(u, &need) {
		return nil, false
	}
	return r.take(u, &need)
}

// Ready is the number of upstreams with a ready copy of a checkpoint.
func (r *Router) Ready(checkpoint string) int { return len(r.index.Load().engines[checkpoint]) }

// Pick chooses an engine and takes a place on it, until Choice.Done. It
// returns false if none has room.
func (r *Router) Pick(need Need) (*Choice, bool) {
	candidates := r.index.Load().candidates(&need)
	if need.Checkpoint != "" && len(need.Parts) > 0 {
		return r.cheapest(candidates, &need)
	}
	return r.choose(candidates, &need)
}

// PickService chooses an instance of a plain service. Calls with the same pin
// go to the same instance while the list of instances stays; an empty pin
// goes to any. A pinned call takes no other instance.
func (r *Router) PickService(service, pin string, exclude []string) (*Choice, bool) {
	candidates := r.index.Load().services[service]
	if pin == "" {
		return r.choose(candidates, &Need{
			Exclude: exclude,
		})
	}
	u := rendezvous(candidates, hashString(pin))
	if u == nil {
		return nil, false
	}
	return r.take(u, &Need{
		Exclude: exclude,
	})
}

// Retry takes one retry from the budget.
func (r *Router) Retry() bool { return r.budget.take() }

// Cached takes a cache event of an engine as a hint. Prefixes that do not have
// the form of Need.Prefix in hexadecimal are passed over.
func (r *Router) Cached(upstream, prefix string, stored bool) {
	hash, err := strconv.ParseUint(prefix, 16, 64)
	if err != nil {
		return
	}
	r.mu.Lock()
	u := r.upstreams[upstream]
	r.mu.Unlock()
	if u != nil {
		r.hints.set(hash, u, stored)
	}
}
