package claimer

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// fakeStore is a store with outages, lost answers and writes that take effect late.
type fakeStore struct {
	mu       sync.Mutex
	rng      *rand.Rand
	entries  map[string]storer.Entry
	revision storer.Revision
	leases   int
	writes   int
	faulty   bool
	outage   bool
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{
		rng:     rand.New(rand.NewPCG(seed, 3)),
		entries: map[string]storer.Entry{},
	}
}

// fault returns true for one in n calls while faulty is set.
func (f *fakeStore) fault(n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faulty && f.rng.IntN(n) == 0
}

// unreachable reports whether the store is unreachable, after the delay of a call.
func (f *fakeStore) unreachable() bool {
	time.Sleep(2 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage
}

// store returns the fake as a storer.Store.
func (f *fakeStore) store() *storer.Store {
	unavailable := &storer.Unavailable{
		Operation: "test",
	}
	return &storer.Store{
		Grant: func(context.Context, time.Duration) (storer.Lease, error) {
			if f.unreachable() {
				return storer.Lease{}, unavailable
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			f.leases++
			return storer.Lease{
				ID: storer.LeaseID(strconv.Itoa(f.leases)),
			}, nil
		},
		Get: func(_ context.Context, key string) (storer.Entry, error) {
			if f.unreachable() || f.fault(5) {
				return storer.Entry{}, unavailable
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			entry, ok := f.entries[key]
			if !ok {
				return entry, &storer.Absent{
					Key: key,
				}
			}
			return entry, nil
		},
		Swap: func(_ context.Context, swap storer.Swap) (storer.Entry, error) {
			if f.unreachable() {
				return storer.Entry{}, unavailable
			}
			if f.fault(8) {
				f.mu.Lock()
				delay := time.Duration(f.revision%7) * 200 * time.Millisecond
				f.mu.Unlock()
				go func() {
					time.Sleep(delay)
					_, _ = f.swap(swap)
				}()
				return storer.Entry{}, unavailable
			}
			entry, err := f.swap(swap)
			if f.fault(5) {
				return storer.Entry{}, unavailable
			}
			return entry, err
		},
		Delete: func(_ context.Context, key string, expected storer.Revision) error {
			if f.unreachable() {
				return unavailable
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.entries[key].Revision != expected {
				return &storer.Conflict{
					Key: key,
				}
			}
			delete(f.entries, key)
			return nil
		},
	}
}

// swap writes an entry if its revision is the expected one.
func (f *fakeStore) swap(swap storer.Swap) (storer.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if current := f.entries[swap.Key].Revision; current != swap.Expected {
		return storer.Entry{}, &storer.Conflict{
			Key:     swap.Key,
			Current: current,
		}
	}
	f.revision++
	entry := storer.Entry{
		Key:      swap.Key,
		Value:    swap.Value,
		Revision: f.revision,
		Lease:    swap.Lease,
	}
	f.entries[swap.Key] = entry
	return entry, nil
}
