package server

import (
	"hash/maphash"
	"slices"
	"sync"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// registryShards is the number of shards of a registry, each with its own lock.
const registryShards = 16

var registrySeed = maphash.MakeSeed()

// registryShard holds the exchanges of one shard.
type registryShard struct {
	mu        sync.Mutex
	exchanges map[*exchange]struct{}
}

// registry holds the exchanges of all requests whose head was read and that have not ended.
type registry struct {
	shards [registryShards]registryShard
}

// newRegistry returns an empty registry.
func newRegistry() *registry {
	r := &registry{}
	for i := range r.shards {
		r.shards[i].exchanges = map[*exchange]struct{}{}
	}
	return r
}

// shard returns the shard of an exchange.
func (r *registry) shard(e *exchange) *registryShard {
	return &r.shards[maphash.Comparable(registrySeed, e)%registryShards]
}

// add adds an exchange; adding it again changes nothing.
func (r *registry) add(e *exchange) {
	shard := r.shard(e)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.exchanges[e] = struct{}{}
}

// remove removes an exchange if it is there.
func (r *registry) remove(e *exchange) {
	shard := r.shard(e)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.exchanges, e)
}

// empty reports whether there are no exchanges.
func (r *registry) empty() bool {
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.Lock()
		count := len(shard.exchanges)
		shard.mu.Unlock()
		if count > 0 {
			return false
		}
	}
	return true
}

// all returns all exchanges.
func (r *registry) all() []*exchange {
	var exchanges []*exchange
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.Lock()
		for e := range shard.exchanges {
			exchanges = append(exchanges, e)
		}
		shard.mu.Unlock()
	}
	return exchanges
}

// admitted returns the exchanges of all waiting and running requests.
func (s *Server) admitted() []*exchange {
	return slices.DeleteFunc(s.active.all(), func(e *exchange) bool { return !e.admitted.Load() })
}

// AbortWithdrawn aborts the requests whose key, or for completion requests also version or adapter, is withdrawn in the
// configuration in force. Calls that an upstream has and that must not run twice are left to finish; with
// Config.FinishWithdrawn, so is every request that an upstream has. AbortWithdrawn must be called after each change of the
// configuration.
func (s *Server) AbortWithdrawn() {
	snapshot := s.config.Snapshot()
	for _, e := range s.admitted() {
		refusal := e.refuseIfWithdrawn(snapshot)
		switch {
		case refusal == nil:
		case e.dispatch.atMostOnce || s.config.FinishWithdrawn:
			e.dispatch.ifWaiting(func() { e.abort(refusal) })
		default:
			e.abort(refusal)
		}
	}
}

// refuseWaiting refuses the requests that no upstream has when the instance shuts down: the caller can send them to another
// instance at once.
func (s *Server) refuseWaiting() {
	for _, e := range s.active.all() {
		e.dispatch.ifWaiting(func() { e.abort(s.stoppingRefusal()) })
	}
}

// refusesWaiting reports whether requests that no upstream has are refused because the instance shuts down.
func (s *Server) refusesWaiting() bool { return s.stopping.Load() && s.config.Routed }

// abortRemaining ends all requests that have not ended when the instance stops. Their callers get an answer that states whether the
// request may have run, unless they have a part of another one; a connection that closes would state nothing.
func (s *Server) abortRemaining() {
	for _, e := range s.active.all() {
		e.abort(s.stoppingRefusal())
		_ = e.control.SetReadDeadline(s.config.Now()) // its body may still be read
	}
}

// stoppingRefusal returns the refusal of a request for which the instance has no time left.
func (s *Server) stoppingRefusal() *refuser.Refusal {
	refusal := newRefusal(refuser.CodeStopping, "the instance is shutting down")
	refusal.RetryAt = s.config.Now()
	return refusal
}
