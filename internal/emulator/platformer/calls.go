package platformer

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/buckthorngap/buckthorngap/internal/binder"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// maxBodyBytes is the maximum size of a request body, which must hold a value
// in base64 and the JSON around it.
const maxBodyBytes = 2 * storer.MaxValueBytes

// registerCalls registers the handlers of all calls and of the control paths.
func (p *Platform) registerCalls() {
	p.mux.HandleFunc(binder.PathGet, p.wrapRead(p.serveGet))
	p.mux.HandleFunc(binder.PathList, p.wrapRead(p.serveList))
	p.mux.HandleFunc(binder.PathWatch, p.wrapRead(p.serveWatch))
	p.mux.HandleFunc(binder.PathInstances, p.wrapRead(p.serveInstances))
	p.mux.HandleFunc(binder.PathSwap, p.wrapWrite(p.swap))
	p.mux.HandleFunc(binder.PathDelete, p.wrapWrite(p.deleteEntry))
	p.mux.HandleFunc(binder.PathGrant, p.wrapWrite(p.grant))
	p.mux.HandleFunc(binder.PathRenew, p.wrapWrite(p.renew))
	p.mux.HandleFunc(binder.PathRevoke, p.wrapWrite(p.revoke))
	p.registerControls()
}

// wrapRead returns the handler of a call that changes nothing. It counts the
// call, applies the rate limit for reads and injects faults.
func (p *Platform) wrapRead(call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.admit(w, r, p.reads, false) {
			call(w, r)
		}
	}
}

// wrapWrite returns the handler of a call that changes the store. The call
// returns its result instead of writing it, so that the answer can be lost after
// the change took effect.
func (p *Platform) wrapWrite(call func(r *http.Request) (any, *binder.Failure)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.admit(w, r, p.writes, true) {
			return
		}
		result, failure := call(r)
		if p.takeLostAnswer() {
			panic(http.ErrAbortHandler)
		}
		if failure != nil {
			fail(w, failure)
			return
		}
		reply(w, http.StatusOK, result)
	}
}

// takeLostAnswer reports whether the answer to this write is to be lost, and decrements the fault's count if so.
func (p *Platform) takeLostAnswer() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.faults.Lost == 0 {
		return false
	}
	p.faults.Lost--
	return true
}

// admit counts a call, applies the rate limit and injects outages and delays.
// It reports whether the call may proceed; if not, it has been answered or its caller is gone.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, limit *rate.Limiter, write bool) bool {
	p.mutex.Lock()
	p.counts.Kinds[r.URL.Path]++
	if write {
		p.counts.Writes++
	} else {
		p.counts.Reads++
	}
	faults := p.faults
	allowed := limit.AllowN(p.config.Now(), 1)
	stuck := p.stuck(r)
	p.connections.add(r.RemoteAddr)
	if faults.Outage == OutageHang || faults.Outage == OutageRefuse || stuck || !allowed {
		p.counts.Refused++
	}
	p.mutex.Unlock()

	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	switch {
	case faults.Outage == OutageHang, stuck:
		// The HTTP server detects a closed connection only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return false
	case faults.Outage == OutageRefuse:
		fail(w, &binder.Failure{
			Code: binder.CodeOut,
		})
		return false
	case !allowed:
		fail(w, &binder.Failure{
			Code: binder.CodeBusy,
		})
		return false
	}
	return pause(r, toDuration(faults.Milliseconds))
}

// stuck reports whether a call came on a connection that is stuck. The caller holds the lock.
func (p *Platform) stuck(r *http.Request) bool {
	return p.faults.Outage == OutageStuck && p.connections.stuck[r.RemoteAddr]
}

// pause waits for the delay. It reports false if the caller left before its end.
func pause(r *http.Request, delay time.Duration) bool {
	return delay <= 0 || waiter.Pause(r.Context(), delay)
}

// decode reads the JSON body of a request.
func decode[T any](r *http.Request) (T, *binder.Failure) {
	var request T
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return request, &binder.Failure{
			Code: binder.CodeMalformed,
		}
	}
	return request, nil
}

// readState returns the state that get and list read: an earlier one if the
// fault Stale is in force. The caller holds the lock.
func (p *Platform) readState() *state {
	if p.staleState != nil {
		return p.staleState
	}
	return p.state
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	request, failure := decode[binder.KeyRequest](r)
	if failure != nil {
		fail(w, failure)
		return
	}
	p.mutex.Lock()
	p.expireLeases()
	entry, ok := p.readState().entries[request.Key]
	p.mutex.Unlock()
	if !ok {
		fail(w, &binder.Failure{
			Code: binder.CodeAbsent,
		})
		return
	}
	reply(w, http.StatusOK, entry)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	request, failure := decode[binder.PrefixRequest](r)
	if failure != nil {
		fail(w, failure)
		return
	}
	p.mutex.Lock()
	p.expireLeases()
	listed := p.readState().list(request.Prefix, 0)
	p.mutex.Unlock()
	listed.Deleted = nil
	reply(w, http.StatusOK, listed)
}

// serveWatch waits until an entry under the prefix changes or the request's
// timeout passes. It answers at once if the caller's revision is above the
// store's, which happens after the store was restored from an older state.
func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	request, failure := decode[binder.PrefixRequest](r)
	if failure != nil {
		fail(w, failure)
		return
	}
	timeout := time.NewTimer(toDuration(request.Milliseconds))
	defer timeout.Stop()
	for expired := false; ; {
		p.mutex.Lock()
		p.expireLeases()
		changes := p.state.list(request.Prefix, request.After)
		changed := p.changed
		outage, stuck := p.faults.Outage, p.stuck(r)
		p.mutex.Unlock()
		if stuck {
			<-r.Context().Done()
			return
		}
		if outage.aborts() {
			panic(http.ErrAbortHandler)
		}
		if expired || len(changes.Entries)+len(changes.Deleted) > 0 || changes.Revision < request.After {
			reply(w, http.StatusOK, changes)
			return
		}
		select {
		case <-changed:
		case <-time.After(expiryInterval):
		case <-timeout.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) serveInstances(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	rows := p.roster.visible(p.config.Now())
	if p.faults.StaleInstances {
		rows = p.staleRows
	}
	p.mutex.Unlock()
	reply(w, http.StatusOK, binder.InstancesAnswer{
		Instances: rows,
	})
}

// expireLeases ends the leases past their deadline and wakes the waiting watches if there were any. The caller holds the lock.
func (p *Platform) expireLeases() {
	if p.state.expireLeases(p.config.Now()) {
		p.notify()
	}
}
