// Package router chooses the upstream of a request: an engine on which the exact checkpoint is ready,
// or an instance of a service. It combines load reports with the requests that this instance has
// sent since, and avoids upstreams that fail or are leaving.
package router

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/buckthorngap/buckthorngap/internal/pacer"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Router tracks the upstreams of the platform and their load, and chooses one for
// each request.
type Router struct {
	config Config
	budget *retryBudget
	hints  *prefixHints
	loads  *serviceLoads
	// index is replaced under mu and read without it.
	index atomic.Pointer[index]

	mu sync.Mutex
	// upstreams holds the listed upstreams by name, and removed those that were removed while a deadline or a request of
	// theirs was left.
	upstreams, removed map[string]*upstream
}

// New returns a Router without upstreams; Refresh loads them.
func New(config Config) *Router {
	config = config.withDefaults()
	r := &Router{
		config:    config,
		budget:    newRetryBudget(config.RetryFraction, config.RetryCapacity),
		hints:     newPrefixHints(),
		loads:     newServiceLoads(),
		upstreams: map[string]*upstream{},
		removed:   map[string]*upstream{},
	}
	r.index.Store(newIndex())
	return r
}

// Refresh reloads the platform's list of instances and all load reports.
func (r *Router) Refresh() {
	r.mu.Lock()
	listed := map[string]bool{}
	for _, row := range r.config.Upstreams() {
		if row.Role == storer.RoleEntry || row.Domain != r.config.Domain && !r.config.OtherDomains {
			continue
		}
		listed[row.Name] = true
		u := r.list(row.Name)
		row.Leaving = row.Leaving && !r.config.IgnoreLeaving
		u.applyListing(row, r.config.Domain)
		u.expireObservation(r.config.Now())
		r.loadReport(u)
	}
	for name, u := range r.upstreams {
		if !listed[name] {
			r.remove(u)
		}
	}
	r.forget()
	r.rebuildIndex()
	r.mu.Unlock()
	r.config.Changed()
}

// Update reloads the load report of one upstream.
func (r *Router) Update(name string) {
	r.mu.Lock()
	u := r.upstreams[name]
	if u == nil {
		r.mu.Unlock()
		return
	}
	rebuild, freed := r.loadReport(u)
	if rebuild {
		r.rebuildIndex()
	}
	r.mu.Unlock()
	if rebuild || freed {
		r.config.Changed()
	}
}

// loadReport applies the latest report of an upstream. It reports whether the index must
// be rebuilt and whether a full upstream has a free slot again.
func (r *Router) loadReport(u *upstream) (rebuild, freed bool) {
	report, received, ok := r.config.Report(u.name)
	if !ok {
		return false, false
	}
	report.Leaving = report.Leaving && !r.config.IgnoreLeaving
	return u.applyReport(report, received, r.config.Now(), r.config.AssumedSlots)
}

// rebuildIndex rebuilds the index from all upstreams.
func (r *Router) rebuildIndex() {
	next := newIndex()
	for _, name := range slices.Sorted(maps.Keys(r.upstreams)) {
		next.add(r.upstreams[name])
	}
	r.index.Store(next)
}

// SetLoaded records that an upstream has loaded or unloaded a checkpoint or adapter, before the
// upstream's own report shows it. An empty adapter means the checkpoint.
func (r *Router) SetLoaded(upstream, checkpoint, adapter string, loaded bool) {
	r.mu.Lock()
	u := r.upstreams[upstream]
	if u == nil {
		r.mu.Unlock()
		return
	}
	u.addOverride(r.config.Now(), checkpoint, adapter, loaded)
	if adapter == "" {
		r.rebuildIndex()
	}
	r.mu.Unlock()
	if loaded {
		r.config.Changed()
	}
}

// PickUpstream acquires another slot on a given upstream, which turned out to lack the adapter of a
// request. It returns false if the upstream accepts no requests.
func (r *Router) PickUpstream(upstream string, need Need) (*Choice, bool) {
	r.mu.Lock()
	u := r.upstreams[upstream]
	r.mu.Unlock()
	need.Exclude = nil
	need.AllowMissingAdapter = true
	r.addVersions(&need)
	if u == nil || !r.usable(u, &need) {
		return nil, false
	}
	return r.acquire(u, &need)
}

// Lists reports whether a start of an upstream is the current one and the upstream is listed.
func (r *Router) Lists(upstream pacer.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.upstreams[upstream.Name]
	return u != nil && u.paced() == upstream
}

// CountReady returns the number of upstreams with a ready copy of the checkpoint of a request, in the failure domains that it may
// go to.
func (r *Router) CountReady(need Need) int { return len(r.index.Load().candidates(&need)) }

// Pick chooses an upstream and holds a slot on it until Choice.Done. It returns false if no upstream
// that meets the need accepts a request now.
func (r *Router) Pick(need Need) (*Choice, bool) {
	r.addVersions(&need)
	candidates := r.index.Load().candidates(&need)
	if load, ok := r.pacedLoad(candidates); ok {
		return r.chooseEven(candidates, &need, load)
	}
	if need.Checkpoint != "" && len(need.Parts) > 0 {
		return r.chooseCheapest(candidates, &need)
	}
	return r.chooseWeighted(candidates, &need)
}

// addVersions adds the versions at which a new stream may begin now.
func (r *Router) addVersions(need *Need) {
	if need.Versioned && len(need.Versions) == 0 {
		need.Versions = r.config.StreamVersions(need.Service)
	}
}

// PickService chooses an instance of a plain service. Calls with the same pin go
// to the same instance as long as the list of instances does not change. If that
// instance accepts no requests, PickService returns false rather than choosing
// another one. Calls with an empty pin go to any instance.
func (r *Router) PickService(service, pin string, exclude []string) (*Choice, bool) {
	candidates := r.index.Load().accepting.services[service]
	if pin == "" {
		return r.chooseWeighted(candidates, &Need{
			Exclude: exclude,
		})
	}
	u := rendezvous(candidates, hashString(pin))
	if u == nil {
		return nil, false
	}
	return r.acquire(u, &Need{
		Exclude: exclude,
	})
}

// TakeRetry takes one retry from the budget and reports whether there was one left.
func (r *Router) TakeRetry() bool { return r.budget.take() }

// RecordCacheEvent records a cache event of an engine as a hint: it has stored or evicted a
// prefix. Prefixes that are not a Need.Prefix in hexadecimal are ignored.
func (r *Router) RecordCacheEvent(upstream, prefix string, stored bool) {
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
