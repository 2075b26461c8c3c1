package server

import (
	"hash/maphash"
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

// registry holds the exchanges of all waiting and running requests.
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

// all returns the exchanges of all waiting and running requests.
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

// AbortWithdrawn aborts the requests whose key, or for completion requests also version or adapter, is withdrawn in the
// configuration in force. Calls that were sent and must not run twice are left to finish; with
// Config.FinishWithdrawn, so is every request that was sent. AbortWithdrawn must be called after each change of the
// configuration.
func (s *Server) AbortWithdrawn() {
	snapshot := s.config.Snapshot()
	for _, e := range s.active.all() {
		refusal := e.refuseIfWithdrawn(snapshot)
		if refusal == nil || !e.dispatch.abortable() || s.config.FinishWithdrawn && e.dispatch.sent.Load() {
			continue
		}
		e.abort(refusal)
	}
}

// refuseWaiting refuses the requests that still wait for an upstream when the instance shuts down: they have not run,
// and the caller can send them to another instance at once.
func (s *Server) refuseWaiting() {
	for _, e := range s.active.all() {
		if e.dispatch.sent.Load() {
			continue
		}
		refusal := newRefusal(refuser.CodeStopping, "the instance is shutting down")
		refusal.RetryAt = s.config.Now()
		e.abort(refusal)
	}
}

// Running returns the number of waiting and running requests.
func (s *Server) Running() int { return len(s.active.all()) }
