package relayer_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestCallsDoNotGrowWithInstances guards against calls to the store that grow with the number of
// instances, and against repeated decoding of unchanged entries. Its 60 instances would make 45
// calls a second in all if each read on its own.
func TestCallsDoNotGrowWithInstances(t *testing.T) {
	testFleet(t, func(is *is.I, f *fleet) {
		before, decoded := f.store.calls, f.nodes[5].decoded
		began := time.Now()
		is.True(f.run(20*time.Second) < maxDelay/2)
		perSecond := float64(f.store.calls-before) / time.Since(began).Seconds()
		is.True(perSecond <= 2*2*2/pause.Seconds()) // two readers per domain, two reads per pause
		is.True(f.nodes[5].decoded-decoded <= 25)   // unchanged entries are not decoded again
	})
}

// TestChangesArriveWhenAllReadersDie guards against changes that are delayed until the death of the
// readers is noticed.
func TestChangesArriveWhenAllReadersDie(t *testing.T) {
	testFleet(t, func(is *is.I, f *fleet) {
		for _, n := range f.preferredReaders() {
			f.kill(n)
		}
		is.True(f.run(20*time.Second) < maxDelay)
	})
}

// TestChangesArriveWhenReadersFreeze guards against changes that wait for readers that are frozen
// but count as alive.
func TestChangesArriveWhenReadersFreeze(t *testing.T) {
	testFleet(t, func(is *is.I, f *fleet) {
		for _, n := range f.preferredReaders() {
			n.gate.Freeze()
			n.exempt = true
		}
		is.True(f.run(12*time.Second) < maxDelay)
	})
}

// TestChangesArriveWhenTheStoreTurnsReadersAway guards against changes that wait for readers that
// answer but cannot reach the store.
func TestChangesArriveWhenTheStoreTurnsReadersAway(t *testing.T) {
	testFleet(t, func(is *is.I, f *fleet) {
		for _, n := range f.preferredReaders() {
			n.storeCut = true
			n.exempt = true
		}
		is.True(f.run(12*time.Second) < maxDelay)
	})
}

// TestChangesArriveAtInstancesThatTheStoreTurnsAway guards against an instance that stays at an old configuration while
// its neighbours have a newer one: all instances of one small failure domain, and the readers of large ones.
func TestChangesArriveAtInstancesThatTheStoreTurnsAway(t *testing.T) {
	for _, members := range []int{2, 30} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			testFleetOf(t, 3, members, func(is *is.I, f *fleet) {
				for _, n := range append(f.preferredReaders(), f.nodes[:2]...) {
					n.storeCut = n.domain == "d0" || members > 2
				}
				is.True(f.run(12*time.Second) < maxDelay)
			})
		})
	}
}

// TestChangesArriveWhenReadersAreNotHeard guards against changes that wait for readers whose answers are lost, while
// they read the store and hear the others.
func TestChangesArriveWhenReadersAreNotHeard(t *testing.T) {
	testFleet(t, func(is *is.I, f *fleet) {
		for _, n := range f.preferredReaders() {
			f.setUnheard(n, true)
		}
		is.True(f.run(12*time.Second) < maxDelay)
	})
}

// TestChangesArriveAfterAPause guards against instances, readers among them, that go on with what they knew before they were
// paused, or pass it on as new.
func TestChangesArriveAfterAPause(t *testing.T) {
	for _, members := range []int{2, 30} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			testFleetOf(t, 3, members, func(is *is.I, f *fleet) {
				paused := append(f.preferredReaders(), f.nodes[1], f.nodes[len(f.nodes)-1])
				for _, n := range paused {
					n.gate.Freeze()
					n.exempt = true
				}
				is.True(f.run(6*time.Second) < maxDelay)
				for _, n := range paused {
					n.gate.Thaw()
					n.exempt = false
				}
				is.True(f.run(6*time.Second) < maxDelay)
			})
		})
	}
}

// TestChangesArriveWhileReadersAreReplaced guards against changes that are lost or late while the readers are replaced one
// after the other, and against a replacement that starts from an older state.
func TestChangesArriveWhileReadersAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 2, 30)
		defer f.end(cancel)
		f.run(4 * time.Second)
		for number := range 6 {
			f.kill(f.preferredReaders()[0])
			domain := fmt.Sprintf("d%d", number%2)
			f.add(ctx, domain, fmt.Sprintf("%s-new%d0", domain, number), len(f.nodes))
			is.True(f.run(2*time.Second) < maxDelay)
		}
		is.True(!f.reverted)
	})
}

// TestCompactedHistoryIsReadAgain guards against instances that stop following, or keep reading the
// complete state, after the store compacted its history.
func TestCompactedHistoryIsReadAgain(t *testing.T) {
	testFleet(t, func(is *is.I, f *fleet) {
		f.store.mu.Lock()
		f.store.compacted = f.store.revision
		f.store.mu.Unlock()
		is.True(f.run(8*time.Second) < maxDelay)
		total := 0
		for _, n := range f.nodes {
			total += n.fullUpdates
		}
		is.True(total <= 2*len(f.nodes)) // one at the start and at most one more per instance
	})
}

// TestChangesArriveAfterAnOutageOfTheStore guards against changes that do not arrive soon after an
// outage of the store.
func TestChangesArriveAfterAnOutageOfTheStore(t *testing.T) {
	testFleet(t, func(is *is.I, f *fleet) {
		f.store.mu.Lock()
		f.store.down = true
		f.store.mu.Unlock()
		time.Sleep(10 * time.Second)
		f.store.mu.Lock()
		f.store.down = false
		f.store.mu.Unlock()
		is.True(f.run(4*time.Second) < maxDelay)
	})
}
