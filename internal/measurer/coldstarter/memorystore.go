package coldstarter

import (
	"context"
	"sync"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// memoryStore is an in-memory key-value store that takes the place of the
// platform's, without latency or failures.
type memoryStore struct {
	mutex    sync.Mutex
	entries  map[string]storer.Entry
	revision storer.Revision
}

func (m *memoryStore) store() *storer.Store {
	return &storer.Store{
		Get:  m.get,
		Swap: m.swap,
	}
}

func (m *memoryStore) get(_ context.Context, key string) (storer.Entry, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	entry, ok := m.entries[key]
	if !ok {
		return entry, &storer.Absent{
			Key: key,
		}
	}
	return entry, nil
}

func (m *memoryStore) swap(_ context.Context, swap storer.Swap) (storer.Entry, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if current := m.entries[swap.Key].Revision; current != swap.Expected {
		return storer.Entry{}, &storer.Conflict{
			Key:     swap.Key,
			Current: current,
		}
	}
	m.revision++
	entry := storer.Entry{
		Key:      swap.Key,
		Value:    swap.Value,
		Revision: m.revision,
	}
	m.entries[swap.Key] = entry
	return entry, nil
}

// put creates an entry; it has no effect if the key exists.
func (m *memoryStore) put(key string, value []byte) {
	_, _ = m.swap(context.Background(), storer.Swap{
		Key:   key,
		Value: value,
	})
}
