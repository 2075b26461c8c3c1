package follower_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// scriptedStore is a store whose watches return prepared answers, then block.
type scriptedStore struct {
	mu    sync.Mutex
	scans int
	scan  storer.Changes
	// watches holds the answers of the next watches.
	watches []func() (storer.Changes, error)
	// watchTimes and afters hold the time of each watch and the revision that it passed.
	watchTimes []time.Time
	afters     []storer.Revision
}

func (s *scriptedStore) store() *storer.Store {
	return &storer.Store{
		Scan: func(context.Context, string) (storer.Changes, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.scans++
			return s.scan, nil
		},
		Watch: func(ctx context.Context, _ string, after storer.Revision) (storer.Changes, error) {
			s.mu.Lock()
			s.watchTimes = append(s.watchTimes, time.Now())
			s.afters = append(s.afters, after)
			if len(s.watches) > 0 {
				next := s.watches[0]
				s.watches = s.watches[1:]
				s.mu.Unlock()
				return next()
			}
			s.mu.Unlock()
			<-ctx.Done()
			return storer.Changes{}, ctx.Err()
		},
	}
}

// watched returns the number of watches so far.
func (s *scriptedStore) watched() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.afters)
}

// quiet returns a logger that discards its output.
func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// follow runs a follower on a scripted store for a span of fake time and returns its updates.
func follow(s *scriptedStore, pause, span time.Duration) []follower.Update {
	var updates []follower.Update
	f := follower.New(follower.Config{
		Store:         s.store(),
		WatchInterval: func() time.Duration { return pause },
		Apply:         func(update follower.Update) { updates = append(updates, update) },
		Log:           quiet(),
	})
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	_ = f.Run(ctx)
	return updates
}

// changed returns a watch answer with one entry.
func changed(key string, revision storer.Revision) func() (storer.Changes, error) {
	return func() (storer.Changes, error) {
		return storer.Changes{
			Entries: []storer.Entry{
				{
					Key:      key,
					Revision: revision,
				},
			},
			Revision: revision,
		}, nil
	}
}

// TestCompactedHistoryIsReadAgain guards against a follower that stops, or reports an outage, when
// the store has compacted the history that it needs.
func TestCompactedHistoryIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &scriptedStore{
			scan: storer.Changes{
				Revision: 5,
			},
			watches: []func() (storer.Changes, error){
				func() (storer.Changes, error) { return storer.Changes{}, &storer.Compacted{} },
			},
		}
		updates := follow(s, 0, time.Second)
		is.Equal(s.scans, 2)
		is.Equal(len(updates), 2)
		is.True(updates[1].Complete)
		is.True(!updates[1].Recovered) // the store never failed
	})
}

// TestRecoveryOfTheStoreIsReported guards against an outage of the store that is not reported, and
// against changes that are missed after it.
func TestRecoveryOfTheStoreIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var failedAt time.Time
		unavailable := func() (storer.Changes, error) {
			time.Sleep(400 * time.Millisecond)
			failedAt = time.Now()
			return storer.Changes{}, &storer.Unavailable{}
		}
		s := &scriptedStore{
			watches: []func() (storer.Changes, error){changed("a", 1), unavailable, unavailable, changed("b", 2)},
		}
		updates := follow(s, 0, 3*time.Second)
		is.Equal(len(updates), 3)
		is.True(!updates[1].Recovered)
		is.True(updates[2].Recovered)
		is.Equal(updates[2].UnreachableAt, failedAt.Add(-200*time.Millisecond))
		is.Equal(s.afters[3], storer.Revision(1)) // it continues after the last revision that it read
	})
}

// TestRecoveryOfAnotherInstanceIsFromTheSameOutage guards against a recovery that another instance passes on after this one's own and
// that counts as a new one.
func TestRecoveryOfAnotherInstanceIsFromTheSameOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var failedAt time.Time
		const hang = 1200 * time.Millisecond
		s := &scriptedStore{
			watches: []func() (storer.Changes, error){func() (storer.Changes, error) {
				time.Sleep(hang)
				failedAt = time.Now()
				return storer.Changes{}, &storer.Unavailable{}
			}, changed("a", 1)},
		}
		var recoveries []follower.Update
		f := follower.New(follower.Config{
			Store: s.store(),
			FetchFromPeers: func(ctx context.Context, _ storer.Revision, _ bool) (follower.Relayed, bool) {
				if !waiter.Pause(ctx, hang) {
					return follower.Relayed{}, false
				}
				return follower.Relayed{
					Update: follower.Update{
						Revision:  2,
						Recovered: true,
					},
				}, true
			},
			Apply: func(update follower.Update) {
				if update.Recovered {
					recoveries = append(recoveries, update)
				}
			},
			Log: quiet(),
		})
		ctx, cancel := context.WithTimeout(t.Context(), 2*hang)
		defer cancel()
		_ = f.Run(ctx)
		is.Equal(len(recoveries), 2) // its own, and that of the other instance
		for _, update := range recoveries {
			is.Equal(update.UnreachableAt, failedAt.Add(-hang/2))
		}
	})
}

// TestPauseBoundsTheWatches guards against a watch per change when entries change quickly.
func TestPauseBoundsTheWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &scriptedStore{}
		for revision := range storer.Revision(100) {
			s.watches = append(s.watches, changed("a", revision+1))
		}
		_ = follow(s, 500*time.Millisecond, 10*time.Second)
		is.True(len(s.watchTimes) <= 21)
	})
}

// TestChangesArriveFromAStoreThatWentBack guards against a follower that waits for revisions above the one that the store
// had before it lost its last writes, and misses the changes below.
func TestChangesArriveFromAStoreThatWentBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &scriptedStore{
			scan: storer.Changes{
				Revision: 5,
			},
			watches: []func() (storer.Changes, error){
				changed("a", 9),
				func() (storer.Changes, error) { return storer.Changes{}, &storer.Compacted{} },
				changed("a", 6),
			},
		}
		updates := follow(s, 0, time.Second)
		is.Equal(s.scans, 2)
		is.Equal(s.afters, []storer.Revision{5, 9, 5, 6}) // it continues at the revision to which the store went back
		is.Equal(len(updates), 4)
		is.Equal(len(updates[3].Entries), 1)
	})
}

// TestSilentPeersDelayNoRead guards against a store's answer, or its return, that is noticed late because other instances are
// queried meanwhile and do not answer.
func TestSilentPeersDelayNoRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		unavailable := func() (storer.Changes, error) { return storer.Changes{}, &storer.Unavailable{} }
		late := func() (storer.Changes, error) {
			time.Sleep(overdueAnswer)
			return changed("a", 1)()
		}
		s := &scriptedStore{
			watches: []func() (storer.Changes, error){late, unavailable, unavailable, unavailable, unavailable, unavailable, changed("b", 2)},
		}
		began := time.Now()
		var at []time.Duration
		f := follower.New(follower.Config{
			Store: s.store(),
			FetchFromPeers: func(ctx context.Context, _ storer.Revision, _ bool) (follower.Relayed, bool) {
				time.Sleep(time.Second)
				return follower.Relayed{}, false
			},
			Apply: func(update follower.Update) {
				if len(update.Entries) > 0 {
					at = append(at, time.Since(began))
				}
			},
			Log: quiet(),
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_ = f.Run(ctx)
		is.Equal(len(at), 2)
		is.Equal(at[0], overdueAnswer)
		is.True(at[1]-at[0] <= 2400*time.Millisecond) // the pauses after five failures: 0.1, 0.2, 0.4, 0.8 and 0.8 s at most
		time.Sleep(time.Second)
	})
}

// overdueAnswer is a time after which other instances are queried.
const overdueAnswer = 1200 * time.Millisecond

// TestRestoredStoreIsReported guards against a state of a restored store that is taken for the continuation of the one
// before, and against a first write after it that is taken for a renewal.
func TestRestoredStoreIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &scriptedStore{
			scan: storer.Changes{
				Revision: 121,
			},
		}
		s.watches = []func() (storer.Changes, error){
			func() (storer.Changes, error) {
				s.scan = storer.Changes{
					Entries: []storer.Entry{
						{
							Key:      "a",
							Revision: storer.NewRevision(1, 90),
						},
					},
					Revision: storer.NewRevision(1, 106),
				}
				return storer.Changes{}, &storer.Compacted{}
			},
			changed("a", storer.NewRevision(1, 107)),
			changed("a", storer.NewRevision(1, 108)),
		}
		updates := follow(s, 0, time.Second)
		is.Equal(len(updates), 4)
		is.True(!updates[0].Restored)
		is.True(updates[1].Restored)
		is.True(!updates[2].Restored)
		is.Equal(len(updates[2].Entries), 1) // the first write
		is.Equal(len(updates[3].Renewed), 1)
	})
}

// TestStoreThatServedOthersWasNotOut guards against entries that were deleted while the store turned this instance alone away, and
// that are held for lapsed ones because the store seems to return from an outage.
func TestStoreThatServedOthersWasNotOut(t *testing.T) {
	for name, test := range map[string]struct {
		// age is how long ago the store answered the instances that pass its answers on.
		age time.Duration
		out bool
	}{
		"it served others":               {300 * time.Millisecond, false},
		"it has not served others since": {3 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				unavailable := func() (storer.Changes, error) { return storer.Changes{}, &storer.Unavailable{} }
				s := &scriptedStore{
					watches: []func() (storer.Changes, error){
						changed("a", 1), unavailable, unavailable, unavailable, unavailable, unavailable, changed("c", 9), unavailable, changed("d", 10),
					},
				}
				revision := storer.Revision(1)
				var last []follower.Update
				f := follower.New(follower.Config{
					Store: s.store(),
					FetchFromPeers: func(context.Context, storer.Revision, bool) (follower.Relayed, bool) {
						revision = min(revision+1, 8)
						return follower.Relayed{
							Update: follower.Update{
								Revision: revision,
							},
							AsOf: time.Now().Add(-test.age),
						}, s.watched() < 8
					},
					Apply: func(update follower.Update) {
						if len(update.Entries) > 0 {
							last = append(last, update)
						}
					},
					Log: quiet(),
				})
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				_ = f.Run(ctx)
				is.Equal(len(last), 3)
				is.Equal(last[1].Revision, storer.Revision(9))
				is.Equal(last[1].Recovered, test.out)
				is.True(last[2].Recovered) // a failure since then that nobody bridged
			})
		})
	}
}
