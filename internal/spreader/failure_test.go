package spreader

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/platformer"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// loseSwapAnswers loses the answers to the next swaps of the head after they took effect.
func loseSwapAnswers(n *node, count int) {
	swap := n.config.Store.Swap
	n.config.Store.Swap = func(ctx context.Context, request storer.Swap) (storer.Entry, error) {
		entry, err := swap(ctx, request)
		if request.Key != headKey || count == 0 {
			return entry, err
		}
		count--
		return storer.Entry{}, &storer.Unavailable{
			Operation: "swap",
		}
	}
}

// actWithLostAnswer commits an act whose swap gets no answer, and returns the store's revision and
// the error of the act.
func actWithLostAnswer(t *testing.T, edit func(*Spreader)) (revision uint64, err error) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		n := c.start("n0", "d0", edit)
		c.waitUntilReady()
		loseSwapAnswers(n, 1)
		_, err = n.Act(t.Context(), putTeam("act-1", "crates", 5))
		revision = c.storedHead().Revision
		c.stopAll()
	})
	return revision, err
}

func TestLostAnswerIsReadBack(t *testing.T) {
	is := is.New(t)
	revision, err := actWithLostAnswer(t, nil)
	is.NoErr(err)
	is.Equal(revision, uint64(1))
}

func TestLostAnswerIsUnknownWithoutReadingBack(t *testing.T) {
	is := is.New(t)
	revision, err := actWithLostAnswer(t, func(s *Spreader) { s.guards.readBack = false })
	var unknown *UnknownOutcome
	is.True(errors.As(err, &unknown))
	is.Equal(revision, uint64(1)) // the act took effect nevertheless
}

// TestActThatTookEffectIsNotReportedAsRefused guards against reporting an act as refused that is
// in the head: the answer to the swap is lost, another act is committed after it, and the
// store is unreachable when the result is to be read.
func TestActThatTookEffectIsNotReportedAsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		n := c.start("n0", "d0", nil)
		other := c.start("n1", "d0", nil)
		c.waitUntilReady()
		get, swap := n.config.Store.Get, n.config.Store.Swap
		swapped, reads := false, 0
		n.config.Store.Swap = func(ctx context.Context, request storer.Swap) (storer.Entry, error) {
			entry, err := swap(ctx, request)
			if request.Key != headKey || swapped {
				return entry, err
			}
			swapped = true
			_, err = other.Act(ctx, putTeam("act-2", "dryers", 5))
			is.NoErr(err)
			return storer.Entry{}, &storer.Unavailable{}
		}
		n.config.Store.Get = func(ctx context.Context, key string) (storer.Entry, error) {
			if key == headKey && swapped {
				reads++
			}
			if reads > 1 {
				return storer.Entry{}, &storer.Unavailable{}
			}
			return get(ctx, key)
		}
		_, err := n.Act(t.Context(), putTeam("act-1", "crates", 5))
		var unknown *UnknownOutcome
		is.True(errors.As(err, &unknown))
		_, known := c.storedHead().Act("act-1")
		is.True(known)
		c.stopAll()
	})
}

func TestRepeatingAnActResolvesAnUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		n := c.start("n0", "d0", nil)
		c.waitUntilReady()
		get := n.config.Store.Get
		swap := n.config.Store.Swap
		n.config.Store.Swap = func(ctx context.Context, request storer.Swap) (storer.Entry, error) {
			entry, err := swap(ctx, request)
			if request.Key == headKey {
				c.platform.SetFaults(platformer.Faults{
					Outage: platformer.OutageRefuse,
				})
				return storer.Entry{}, &storer.Unavailable{}
			}
			return entry, err
		}
		change := putTeam("act-1", "crates", 5)
		change.Operations[0].Action = configurator.ActionCreate
		_, err := n.Act(t.Context(), change)
		var unknown *UnknownOutcome
		is.True(errors.As(err, &unknown))
		is.Equal(unknown.ID, "act-1")
		c.platform.SetFaults(platformer.Faults{})
		n.config.Store.Swap, n.config.Store.Get = swap, get
		receipt, err := n.Act(t.Context(), change)
		is.NoErr(err)
		is.True(receipt.Repeated)
		is.Equal(receipt.Revision, uint64(1))
		c.stopAll()
	})
}

// runRollback runs a history in which a node knows an act that the store has lost, while others
// commit acts on the older state. It returns the faults that verify finds.
func runRollback(t *testing.T, edit func(*Spreader)) []string {
	var faults []string
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		n0 := c.start("n0", "d0", edit)
		c.waitUntilReady()
		act := func(n *node, name string) {
			_, err := n.Act(t.Context(), putTeam(name, name, 1))
			is.NoErr(err)
			c.record.add(event{
				kind: eventAccepted,
				name: name,
			})
		}
		act(n0, "one")
		c.platform.Save()
		act(n0, "two")
		c.freeze("n0")
		c.platform.Restore()
		c.record.add(event{
			kind: eventRestored,
		})
		n1 := c.start("n1", "d1", edit)
		c.waitUntil("n1 is ready", n1.Ready)
		act(n1, "three")
		act(n1, "four")
		c.thaw("n0")
		for range 200 {
			c.exchangeDigests()
			synctest.Wait()
			waiter.Pause(t.Context(), longestBackoff/30)
		}
		for _, n := range c.all() {
			c.record.add(snapshotEvent(eventEnd, n.name, n.Current()))
		}
		c.stopAll()
		faults = verify(c.record.events)
	})
	return faults
}

func TestStoreRollbackLosesNoAct(t *testing.T) {
	is := is.New(t)
	is.Equal(runRollback(t, nil), nil)
}

func TestStoreRollbackLosesActsWithoutMerging(t *testing.T) {
	is := is.New(t)
	faults := runRollback(t, func(s *Spreader) { s.guards.mergeActs = false })
	is.True(len(faults) > 0)
}

func TestRevisionInForceIsNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		n := c.start("n0", "d0", nil)
		c.waitUntilReady()
		for _, name := range []string{"one", "two", "three"} {
			_, err := n.Act(t.Context(), putTeam(name, name, 1))
			is.NoErr(err)
		}
		c.platform.Restore() // nothing was saved, so the store is empty
		receipt, err := n.Act(t.Context(), putTeam("four", "four", 1))
		is.NoErr(err)
		is.Equal(receipt.Revision, uint64(4))
		is.Equal(c.storedHead().Revision, uint64(4))
		newcomer := c.start("n1", "d0", func(s *Spreader) { s.guards.queryPeers = false })
		c.waitUntil("n1 is ready", newcomer.Ready)
		_, ok := newcomer.Current().Team("one") // obtained from the store alone
		is.True(ok)
		c.stopAll()
	})
}

// joinDuringStaleReads starts an instance while reads of the store lag, and returns the revision that
// it joins with.
func joinDuringStaleReads(t *testing.T, edit func(*Spreader)) (revision uint64) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		n := c.start("n0", "d0", nil)
		c.waitUntilReady()
		_, err := n.Act(t.Context(), putTeam("one", "one", 1))
		is.NoErr(err)
		c.platform.SetFaults(platformer.Faults{
			Stale: true,
		})
		c.record.add(event{})
		n.install(apply(t, n.Current(), putTeam("two", "two", 1)), "test")
		newcomer := c.newNode("n1", "d1", edit)
		newcomer.join(t.Context())
		revision = newcomer.Current().Revision()
		c.stopAll()
	})
	return revision
}

// apply applies a change to a snapshot.
func apply(t *testing.T, snapshot *configurator.Snapshot, change configurator.Change) *configurator.Snapshot {
	t.Helper()
	next, err := snapshot.Apply(change)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestNewInstanceIsNotReadyWithAStaleRead(t *testing.T) {
	is := is.New(t)
	is.Equal(joinDuringStaleReads(t, nil), uint64(2))
	withoutPeers := joinDuringStaleReads(t, func(s *Spreader) { s.guards.queryPeers = false })
	is.Equal(withoutPeers, uint64(1)) // the fault that querying peers prevents
}

func TestStaleReadDoesNotReplaceANewerConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		n := c.start("n0", "d0", nil)
		c.waitUntilReady()
		_, err := n.Act(t.Context(), putTeam("one", "one", 1))
		is.NoErr(err)
		c.platform.SetFaults(platformer.Faults{
			Stale: true,
		})
		_, err = n.Act(t.Context(), putTeam("two", "two", 1))
		is.NoErr(err)
		w := &watcher{
			spreader: n.Spreader,
		}
		_ = w.readAll(t.Context()) // reads revision 1
		is.Equal(n.Current().Revision(), uint64(2))
		c.platform.SetFaults(platformer.Faults{})
		is.Equal(c.storedHead().Revision, uint64(2))
		c.stopAll()
	})
}
