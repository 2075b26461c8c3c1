package runner

import (
	"net/http"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// serveLoadAdapter loads an adapter for a ready copy and answers once it is
// loaded. The adapter is read without the lock, so the copy may be gone by then.
func (r *Runner) serveLoadAdapter(w http.ResponseWriter, request *http.Request) {
	o, ok := r.readOrder(w, request)
	if !ok {
		return
	}
	r.mu.Lock()
	status := r.checkOrder(o)
	target := r.copies[o.Checkpoint]
	if status == 0 && (target == nil || target.state != reporter.CopyReady) {
		status = http.StatusNotFound
	}
	if status != 0 {
		r.mu.Unlock()
		w.WriteHeader(status)
		return
	}
	target.reading[o.Adapter] = o.Bytes
	ctx := r.startContext
	r.mu.Unlock()
	var err error
	if r.config.FetchAdapter != nil {
		err = r.config.FetchAdapter(ctx, o.Adapter, o.Bytes)
	}
	status = r.addAdapter(target, o, err)
	if err != nil {
		http.Error(w, "adapter not read", status)
		return
	}
	w.WriteHeader(status)
}

// addAdapter ends the read of an adapter: it attaches the adapter to its copy
// unless the read failed or the copy is gone, and returns the status of the answer.
func (r *Runner) addAdapter(target *modelCopy, o order, err error) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(target.reading, o.Adapter)
	if err != nil {
		return http.StatusBadGateway
	}
	if r.copies[o.Checkpoint] != target || target.state != reporter.CopyReady {
		return http.StatusNotFound
	}
	target.adapters[o.Adapter] = o.Bytes
	return r.recordStatus(o, http.StatusOK)
}

// serveUnloadAdapter removes an adapter from a copy; it succeeds also if there is none.
func (r *Runner) serveUnloadAdapter(w http.ResponseWriter, request *http.Request) {
	r.serveOrder(w, request, func(o order) int {
		if target, ok := r.copies[o.Checkpoint]; ok {
			delete(target.adapters, o.Adapter)
		}
		return r.recordStatus(o, http.StatusOK)
	})
}
