package placer

import (
	"context"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// fakeStore is an in-memory key-value service that can be unreachable or lose answers.
type fakeStore struct {
	mutex       sync.Mutex
	entries     map[string]storer.Entry
	revision    storer.Revision
	unreachable bool
	loseAnswers bool
	writes      int
	onWrite     func(key string, value []byte)
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		entries: map[string]storer.Entry{},
		onWrite: func(string, []byte) {},
	}
}

// setFaults sets whether the store is unreachable and whether it loses answers.
func (s *fakeStore) setFaults(unreachable, loseAnswers bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unreachable = unreachable
	s.loseAnswers = loseAnswers
}

// reachable reports whether calls reach the store.
func (s *fakeStore) reachable() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.unreachable
}

// bind returns a store whose calls first pass an instance's gate, which blocks while the
// instance is frozen.
func (s *fakeStore) bind(gate func()) *storer.Store {
	return &storer.Store{
		Get: func(ctx context.Context, key string) (storer.Entry, error) {
			gate()
			if err := s.roundTrip(ctx); err != nil {
				return storer.Entry{}, err
			}
			s.mutex.Lock()
			defer s.mutex.Unlock()
			entry, ok := s.entries[key]
			if !ok {
				return entry, &storer.Absent{
					Key: key,
				}
			}
			return entry, nil
		},
		Swap: func(ctx context.Context, swap storer.Swap) (storer.Entry, error) {
			gate()
			if err := s.roundTrip(ctx); err != nil {
				return storer.Entry{}, err
			}
			entry, err := s.swap(swap)
			if err == nil && s.losesAnswer() {
				<-ctx.Done()
				return entry, &storer.Unavailable{
					Operation: "swap",
				}
			}
			return entry, err
		},
	}
}

// roundTrip takes a millisecond, or until the deadline if the store is unreachable.
func (s *fakeStore) roundTrip(ctx context.Context) error {
	time.Sleep(time.Millisecond)
	if s.reachable() && ctx.Err() == nil {
		return nil
	}
	<-ctx.Done()
	return &storer.Unavailable{
		Operation: "call",
	}
}

// swap writes a value if the stored revision is the expected one.
func (s *fakeStore) swap(swap storer.Swap) (storer.Entry, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if current := s.entries[swap.Key].Revision; current != swap.Expected {
		return storer.Entry{}, &storer.Conflict{
			Key:     swap.Key,
			Current: current,
		}
	}
	s.revision++
	s.writes++
	entry := storer.Entry{
		Key:      swap.Key,
		Value:    swap.Value,
		Revision: s.revision,
	}
	s.entries[swap.Key] = entry
	s.onWrite(swap.Key, swap.Value)
	return entry, nil
}

// losesAnswer reports whether the answer to the latest write is lost: every third one, if
// enabled.
func (s *fakeStore) losesAnswer() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.loseAnswers && s.revision%3 == 0
}
