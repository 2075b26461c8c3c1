package server

import (
	"hash/maphash"
	"sync"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// registryShards is the number of parts of a registry.
const registryShards = 16

var registrySeed = maphash.MakeSeed()

type registryShard struct {
	mu       sync.Mutex
	passages map[*passage]struct{}
}

// registry holds the requests that wait or run.
type registry struct {
	shards [registryShards]registryShard
}

func newRegistry() *registry {
	r := &registry{}
	for i := range r.shards {
		r.shards[i].passages = map[*passage]struct{}{}
	}
	return r
}

func (r *registry) shard(p *passage) *registryShard {
	return &r.shards[maphash.Comparable(registrySeed, p)%registryShards]
}

func (r *registry) add(p *passage) {
	shard := r.shard(p)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.passages[p] = struct{}{}
}

func (r *registry) remove(p *passage) {
	shard := r.shard(p)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.passages, p)
}

// all returns the requests that wait or run.
func (r *registry) all() []*passage {
	var passages []*passage
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.Lock()
		for p := range shard.passages {
			passages = append(passages, p)
		}
		shard.mu.Unlock()
	}
	return passages
}

// Expel ends the requests whose key, version or adapter is withdrawn in the
// configuration in force. Calls that run and must not run twice are let finish.
// It is to be called after each change of the configuration.
func (s *Server) Expel() {
	snapshot := s.config.Snapshot()
	for _, p := range s.running.all() {
		refused := p.withdrawn(snapshot)
		if refused == nil || !p.once.abortable() || s.config.Lenient && p.once.sent.Load() {
			continue
		}
		p.abort(refused)
	}
}

// dismiss refuses the routed requests that wait for an upstream: they have not
// run, and other instances will take them.
func (s *Server) dismiss() {
	for _, p := range s.running.all() {
		if p.once.sent.Load() {
			continue
		}
		refused := refuse(refuser.CodeStopping, "the instance is shutting down")
		refused.RetryAt = s.config.Now()
		p.abort(refused)
	}
}

// Running is the number of requests that wait or run.
func (s *Server) Running() int { return len(s.running.all()) }
