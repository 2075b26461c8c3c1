package platformer

import (
	"maps"
	"net/http"
	"slices"

	"github.com/buckthorngap/buckthorngap/internal/binder"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// registerControls registers the handlers of the control paths.
func (p *Platform) registerControls() {
	p.mux.HandleFunc(PathCounts, func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, p.Counts())
	})
	p.mux.HandleFunc(PathFaults, control(p.SetFaults))
	p.mux.HandleFunc(PathPut, control(func(rows []storer.Instance) { p.Put(rows...) }))
	p.mux.HandleFunc(PathRemove, control(func(names []string) { p.Remove(names...) }))
	p.mux.HandleFunc(PathExpire, control(func(request binder.LeaseRequest) { p.Expire(request.Lease) }))
	p.mux.HandleFunc(PathSave, control(func(struct{}) { p.Save() }))
	p.mux.HandleFunc(PathRestore, control(func(struct{}) { p.Restore() }))
}

// control returns a handler that decodes the request's body and applies it.
func control[T any](apply func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, failure := decode[T](r)
		if failure != nil {
			fail(w, failure)
			return
		}
		apply(request)
		reply(w, http.StatusOK, struct{}{})
	}
}

// Counts returns the counts of calls since the start.
func (p *Platform) Counts() Counts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	counts := p.counts
	counts.Kinds = maps.Clone(counts.Kinds)
	return counts
}

// SetFaults replaces the faults in force. An outage aborts the watches that wait.
func (p *Platform) SetFaults(faults Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !faults.Stale {
		p.staleState = nil
	} else if p.staleState == nil {
		p.staleState = p.state.clone()
	}
	if faults.StaleInstances && !p.faults.StaleInstances {
		p.staleRows = slices.Clone(p.roster.visible(p.config.Now()))
	}
	if faults.Outage == OutageStuck && p.faults.Outage != OutageStuck {
		p.connections.begin()
	}
	p.faults = faults
	p.notify()
}

// Put adds rows to the list of instances, replacing rows of the same name.
func (p *Platform) Put(rows ...storer.Instance) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.roster.change(p.config.Now(), func(list []storer.Instance) []storer.Instance {
		for _, row := range rows {
			list = putRow(list, row)
		}
		return list
	})
}

// Remove removes the rows with these names from the list of instances.
func (p *Platform) Remove(names ...string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.roster.change(p.config.Now(), func(list []storer.Instance) []storer.Instance {
		for _, name := range names {
			list = removeRow(list, name)
		}
		return list
	})
}

// Expire ends a lease at once, as if its holder had been paused beyond the lease's time to live.
func (p *Platform) Expire(id storer.LeaseID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.state.endLease(id)
	p.notify()
}

// Save takes a snapshot of the store for Restore.
func (p *Platform) Save() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.savedState = p.state.clone()
}

// Restore replaces the store's state by the snapshot, or by an empty state
// without one, as if the store restarted from an older backup.
func (p *Platform) Restore() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.savedState != nil {
		p.state = p.savedState.clone()
	} else {
		p.state = newState()
	}
	p.notify()
}
