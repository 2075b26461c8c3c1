package admissionmeter

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/limiter"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	// leaseTime is the time to live of a duty's lease, leaseMargin the time
	// before its end at which the holder stops.
	leaseTime   = 6 * time.Second
	leaseMargin = time.Second
	// duties is the number of limit duties in each domain.
	duties = 3
	// renewInterval is the time between renewals of terms.
	renewInterval = 200 * time.Millisecond
)

// site emulates all instances of one mode, the assignment of limit duties to them
// and the store. The holder of a limit duty lends the budgets of some teams to the
// instances of its domain.
type site struct {
	mode  string
	teams map[string]configurator.Team

	mu  sync.Mutex
	rng *rand.Rand
	// instances holds the last start of each instance, by name.
	instances    map[string]*instance
	incarnations map[*instance]uint64
	// terms and leaseEnds hold the last term of each duty and the end of its lease, by domain and duty.
	terms     map[string]*heldTerm
	leaseEnds map[string]time.Time
	// epoch is the epoch of the newest term.
	epoch    uint64
	entries  map[string]storer.Entry
	revision storer.Revision
	// partitioned is the domain that cannot reach the store; empty if there is none.
	partitioned string
	ledger      *ledger
}

func newSite(mode string, seed uint64) *site {
	s := &site{
		mode:         mode,
		teams:        make(map[string]configurator.Team),
		rng:          rand.New(rand.NewPCG(seed, seed)),
		instances:    make(map[string]*instance),
		incarnations: make(map[*instance]uint64),
		terms:        make(map[string]*heldTerm),
		leaseEnds:    make(map[string]time.Time),
		entries:      make(map[string]storer.Entry),
		ledger:       newLedger(),
	}
	for _, team := range teamLoads() {
		s.teams[team.name] = configurator.Team{
			Name:  team.name,
			Rate:  team.rate,
			Burst: team.burst,
		}
	}
	return s
}

// startInstance starts an instance, which replaces an earlier one of the same name.
func (s *site) startInstance(ctx context.Context, spec instanceSpec) *instance {
	i := &instance{
		site:  s,
		spec:  spec,
		terms: make(map[string]*heldTerm),
	}
	s.mu.Lock()
	incarnation := s.incarnations[s.instances[spec.name]] + 1
	s.incarnations[i] = incarnation
	s.mu.Unlock()
	size := 0
	for _, other := range instanceSpecs() {
		if other.domain == spec.domain {
			size++
		}
	}
	i.limiter = limiter.New(limiter.Config{
		Self: messenger.Sender{
			Name:        spec.name,
			Domain:      spec.domain,
			Incarnation: incarnation,
		},
		Domain:          spec.domain,
		Mode:            s.mode,
		Domains:         []string{"a", "b", "c"},
		ReserveFraction: 0.2,
		ReserveCount:    size,
		DemandInterval:  100 * time.Millisecond,
		DutyCount:       duties,
		Team: func(name string) (configurator.Team, bool) {
			team, ok := s.teams[name]
			return team, ok
		},
		Term:  i.term,
		Owner: i.owner,
		Call:  i.call,
		Store: s.store(spec.domain),
		Now:   i.now,
	})
	ctx, i.cancel = context.WithCancel(ctx)
	s.mu.Lock()
	s.instances[spec.name] = i
	s.mu.Unlock()
	go i.limiter.Run(ctx)
	return i
}

func (s *site) instance(name string) *instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances[name]
}

func (s *site) incarnation(i *instance) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnations[i]
}

// loop renews the terms of running holders and assigns expired duties to other instances.
func (s *site) loop(ctx context.Context) {
	for ctx.Err() == nil {
		for _, domain := range []string{"a", "b", "c"} {
			for number := range duties {
				s.renewOrElect(domain, number, time.Now())
			}
		}
		time.Sleep(renewInterval)
	}
}

// renewOrElect renews the term of a duty's holder if it runs. Once the lease has
// expired it begins a term at another instance, unless the domain cannot reach the store.
func (s *site) renewOrElect(domain string, number int, now time.Time) {
	duty := "limit/" + strconv.Itoa(number)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.terms[domain+duty]
	if held != nil && held.holder.running() && now.Before(held.deadline) {
		held.holder.mu.Lock()
		held.deadline = now.Add(leaseTime - leaseMargin)
		held.holder.mu.Unlock()
		s.leaseEnds[domain+duty] = now.Add(leaseTime)
		return
	}
	if now.Before(s.leaseEnds[domain+duty]) || domain == s.partitioned {
		return
	}
	var candidates []*instance
	for _, spec := range instanceSpecs() {
		if i := s.instances[spec.name]; spec.domain == domain && i.running() {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) > 0 {
		s.beginTerm(candidates[number%len(candidates)], duty, now)
	}
}

// beginTerm begins a term of an instance. The caller holds the lock.
func (s *site) beginTerm(i *instance, duty string, now time.Time) {
	s.epoch++
	held := &heldTerm{
		holder:   i,
		epoch:    s.epoch,
		deadline: now.Add(leaseTime - leaseMargin),
	}
	s.terms[i.spec.domain+duty] = held
	s.leaseEnds[i.spec.domain+duty] = now.Add(leaseTime)
	i.mu.Lock()
	i.terms[duty] = held
	i.mu.Unlock()
}

// store returns the key-value store as a domain reaches it: unavailable while the domain is partitioned.
func (s *site) store(domain string) *storer.Store {
	return &storer.Store{
		Get: func(_ context.Context, key string) (storer.Entry, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.partitioned == domain {
				return storer.Entry{}, &storer.Unavailable{
					Operation: "get",
				}
			}
			entry, ok := s.entries[key]
			if !ok {
				return entry, &storer.Absent{
					Key: key,
				}
			}
			return entry, nil
		},
		Swap: func(_ context.Context, swap storer.Swap) (storer.Entry, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.partitioned == domain {
				return storer.Entry{}, &storer.Unavailable{
					Operation: "swap",
				}
			}
			return s.swap(swap)
		},
	}
}

func (s *site) swap(swap storer.Swap) (storer.Entry, error) {
	if current := s.entries[swap.Key].Revision; current != swap.Expected {
		return storer.Entry{}, &storer.Conflict{
			Key:     swap.Key,
			Current: current,
		}
	}
	s.revision++
	entry := storer.Entry{
		Key:      swap.Key,
		Value:    swap.Value,
		Revision: s.revision,
	}
	s.entries[swap.Key] = entry
	return entry, nil
}
