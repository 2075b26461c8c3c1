package router

import (
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/balancer"
)

// serviceLoads holds what is known of the load of each service as a whole.
type serviceLoads struct {
	mu    sync.Mutex
	loads map[string]*serviceLoad
}

// serviceLoad is what is known of the load of one service.
type serviceLoad struct {
	balancer.Mean
	mu sync.Mutex
	// uncached is the mean number of prompt tokens that an engine had to read for a request, and held the mean number of
	// tokens that a request occupied.
	uncached balancer.Average
	held     balancer.Average
}

func newServiceLoads() *serviceLoads {
	return &serviceLoads{
		loads: map[string]*serviceLoad{},
	}
}

// of returns the load of a service.
func (l *serviceLoads) of(service string) *serviceLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.loads[service]
	if load == nil {
		load = &serviceLoad{}
		l.loads[service] = load
	}
	return load
}

// estimate returns the load that an upstream is expected to have, or zero if the upstreams do not state their pace.
func (l *serviceLoad) estimate(u *upstream, now time.Time) balancer.Estimate {
	if !l.Paced() {
		return balancer.Estimate{}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.estimator.Expect(now, &l.Mean)
}

// count counts a request that is sent to an engine.
func (l *serviceLoad) count(uncached, held int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.uncached.Add(float64(uncached))
	l.held.Add(float64(held))
}

// request returns the mean number of prompt tokens that an engine reads for a request, and that a request occupies.
func (l *serviceLoad) request() (uncached, held float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.uncached.Value(), l.held.Value()
}
