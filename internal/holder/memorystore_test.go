package holder

import (
	"context"
	"fmt"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// memoryStore emulates the platform's key-value service in virtual time.
type memoryStore struct {
	lock sync.Mutex
	// era is how often the store has been restored; revision counts the writes on from the copy.
	era      uint64
	revision uint64
	entries  map[string]storer.Entry
	leases   map[storer.LeaseID]*leaseState
	grants   int
	calls    map[string]int
	// outages counts the outages in force by instance; the empty name stands for all instances.
	outages map[string]int
	// delay returns how long a call takes to the store and back.
	delay func(name string) (there, back time.Duration)
	// drop reports whether the answer of a call is lost after the call took effect.
	drop func(name string) bool
}

// storeCopy is a copy of what the store held at some time.
type storeCopy struct {
	revision uint64
	entries  map[string]storer.Entry
	leases   map[storer.LeaseID]leaseState
}

// copy returns a copy of the entries and leases.
func (m *memoryStore) copy() storeCopy {
	m.lock.Lock()
	defer m.lock.Unlock()
	saved := storeCopy{
		revision: m.revision,
		entries:  maps.Clone(m.entries),
		leases:   map[storer.LeaseID]leaseState{},
	}
	for id, lease := range m.leases {
		saved.leases[id] = *lease
	}
	return saved
}

// restore begins an era from a copy. Instances find what they read before at other revisions, and their leases lapsed; what
// was attached to those stays until their time to live has passed.
func (m *memoryStore) restore(from storeCopy) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.era++
	m.revision, m.entries, m.leases = from.revision, map[string]storer.Entry{}, map[storer.LeaseID]*leaseState{}
	for id, lease := range from.leases {
		m.leases["copied "+id] = &leaseState{
			ttl:      lease.ttl,
			deadline: time.Now().Add(lease.ttl),
		}
	}
	for key, entry := range from.entries {
		entry.Revision = storer.NewRevision(m.era, entry.Revision.Number())
		if entry.Lease != "" {
			entry.Lease = "copied " + entry.Lease
		}
		m.entries[key] = entry
	}
}

// leaseState is the state of a granted lease.
type leaseState struct {
	ttl      time.Duration
	deadline time.Time
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		entries: map[string]storer.Entry{},
		leases:  map[storer.LeaseID]*leaseState{},
		calls:   map[string]int{},
		outages: map[string]int{},
		delay:   func(string) (time.Duration, time.Duration) { return time.Millisecond, time.Millisecond },
		drop:    func(string) bool { return false },
	}
}

// outage starts or ends an outage for one instance, or for all if name is empty.
func (m *memoryStore) outage(name string, on bool) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if on {
		m.outages[name]++
	} else {
		m.outages[name]--
	}
}

// lapse deletes expired leases and the entries bound to them. The lock must be held.
func (m *memoryStore) lapse() {
	now := time.Now()
	for id, lease := range m.leases {
		if now.Before(lease.deadline) {
			continue
		}
		delete(m.leases, id)
		for key, entry := range m.entries {
			if entry.Lease == id {
				delete(m.entries, key)
			}
		}
	}
}

// do runs one call as the platform would: the call may take effect although the caller has given
// up.
func (m *memoryStore) do(ctx context.Context, n *node, operation string, call func() error) error {
	n.gate.Wait()
	m.lock.Lock()
	m.calls[operation]++
	down, drop := m.outages[""]+m.outages[n.name] > 0, m.drop(n.name)
	there, back := m.delay(n.name)
	m.lock.Unlock()
	done := make(chan error, 1)
	go func() {
		if down {
			return
		}
		time.Sleep(there)
		m.lock.Lock()
		m.lapse()
		err := call()
		m.lock.Unlock()
		time.Sleep(back)
		if !drop {
			done <- err
		}
	}()
	defer n.gate.Wait()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return &storer.Unavailable{
			Operation: operation,
			Cause:     ctx.Err(),
		}
	}
}

// store returns the service as one instance reaches it.
func (m *memoryStore) store(n *node) *storer.Store {
	return &storer.Store{
		Get: func(ctx context.Context, key string) (entry storer.Entry, err error) {
			var got storer.Entry
			err = m.do(ctx, n, "get", func() error {
				var ok bool
				if got, ok = m.entries[key]; !ok {
					return &storer.Absent{
						Key: key,
					}
				}
				return nil
			})
			if err != nil {
				return storer.Entry{}, err
			}
			return got, nil
		},
		List: func(ctx context.Context, prefix string) ([]storer.Entry, error) {
			var got []storer.Entry
			err := m.do(ctx, n, "list", func() error {
				for key, entry := range m.entries {
					if strings.HasPrefix(key, prefix) {
						got = append(got, entry)
					}
				}
				sort.Slice(got, func(i, j int) bool { return got[i].Key < got[j].Key })
				return nil
			})
			if err != nil {
				return nil, err
			}
			return got, nil
		},
		Swap: func(ctx context.Context, swap storer.Swap) (storer.Entry, error) {
			var got storer.Entry
			err := m.do(ctx, n, "swap", func() (err error) {
				got, err = m.swap(swap)
				return err
			})
			if err != nil {
				return storer.Entry{}, err
			}
			return got, nil
		},
		Grant: func(ctx context.Context, ttl time.Duration) (storer.Lease, error) {
			before := n.now()
			var id storer.LeaseID
			err := m.do(ctx, n, "grant", func() error {
				m.grants++
				id = storer.LeaseID(fmt.Sprint(m.grants))
				m.leases[id] = &leaseState{
					ttl:      ttl,
					deadline: time.Now().Add(ttl),
				}
				return nil
			})
			if err != nil {
				return storer.Lease{}, err
			}
			return storer.Lease{
				ID:       id,
				Deadline: before.Add(ttl),
			}, nil
		},
		Renew: func(ctx context.Context, id storer.LeaseID) (storer.Lease, error) {
			before := n.now()
			var ttl time.Duration
			err := m.do(ctx, n, "renew", func() error {
				lease := m.leases[id]
				if lease == nil {
					return &storer.Lapsed{
						Lease: id,
					}
				}
				ttl = lease.ttl
				lease.deadline = time.Now().Add(ttl)
				return nil
			})
			if err != nil {
				return storer.Lease{}, err
			}
			return storer.Lease{
				ID:       id,
				Deadline: before.Add(ttl),
			}, nil
		},
		Revoke: func(ctx context.Context, id storer.LeaseID) error {
			return m.do(ctx, n, "revoke", func() error {
				if lease := m.leases[id]; lease != nil {
					lease.deadline = time.Now()
					m.lapse()
				}
				return nil
			})
		},
	}
}

// swap writes one entry if its revision is the expected one. The lock must be held.
func (m *memoryStore) swap(swap storer.Swap) (storer.Entry, error) {
	if current := m.entries[swap.Key].Revision; current != swap.Expected {
		return storer.Entry{}, &storer.Conflict{
			Key:     swap.Key,
			Current: current,
		}
	}
	if swap.Lease != "" && m.leases[swap.Lease] == nil {
		return storer.Entry{}, &storer.Lapsed{
			Lease: swap.Lease,
		}
	}
	m.revision++
	entry := storer.Entry{
		Key:      swap.Key,
		Value:    swap.Value,
		Revision: storer.NewRevision(m.era, m.revision),
		Lease:    swap.Lease,
	}
	m.entries[swap.Key] = entry
	return entry, nil
}
