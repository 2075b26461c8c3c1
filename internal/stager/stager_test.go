package stager

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/internal/stager/stagerpb"
)

// adapter loads an adapter of the model m0.
func (f *fixture) adapter(name string) error {
	_, err := f.loadAdapter(context.Background(), f.term, "e", "m0", "m0/"+name)
	return err
}

func TestSequenceComesFromTheReportAndNotFromTheEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		f.engine.sequence = 7 // orders of a previous holder
		is.NoErr(f.adapter("a0"))
		is.NoErr(f.adapter("a1"))
		is.Equal(len(f.engine.orders), 2) // none conflicted
		is.Equal(f.reportReads, 1)
	})
}

func TestAdaptersStayWithinTheSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		for _, name := range []string{"a0", "a1", "a2"} {
			is.NoErr(f.adapter(name))
			time.Sleep(time.Millisecond)
		}
		is.True(f.adapter("a3") != nil) // all were requested just now
		time.Sleep(minAdapterIdle)
		is.NoErr(f.adapter("a1"))
		is.NoErr(f.adapter("a3"))
		is.True(!f.engine.models["m0"]["m0/a0"]) // requested longest ago
		is.True(f.engine.models["m0"]["m0/a1"])
		is.True(!f.engine.overfull)
		orders := len(f.engine.orders)
		is.NoErr(f.adapter("a3"))
		is.Equal(len(f.engine.orders), orders) // the adapter is already loaded
	})
}

// TestOrdersAreCountedWhileEntriesAreStale guards against overfilling an engine while the holder
// is cut off from the store: the entries that it read before do not show its orders, however old
// they get.
func TestOrdersAreCountedWhileEntriesAreStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		for _, name := range []string{"a0", "a1", "a2", "a3", "a4"} {
			is.NoErr(f.adapter(name))
			time.Sleep(2 * time.Second)
		}
		is.True(!f.engine.overfull)
		f.writeEntry() // entries arrive again
		is.NoErr(f.adapter("a5"))
		is.True(!f.engine.overfull)
	})
}

// TestAdapterInDemandIsNotEvicted guards against evicting an adapter that is in demand but whose
// load is no longer requested, since requests find it loaded.
func TestAdapterInDemandIsNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		for _, name := range []string{"a0", "a1", "a2"} {
			is.NoErr(f.adapter(name))
			time.Sleep(time.Millisecond)
		}
		time.Sleep(minAdapterIdle)
		f.AddDemand("m0", "m0/a0", 1000)
		is.NoErr(f.adapter("a3"))
		is.True(f.engine.models["m0"]["m0/a0"])
		is.True(!f.engine.models["m0"]["m0/a1"])
	})
}

func TestAdapterInUseIsNotCountedAsUnloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		for _, name := range []string{"a0", "a1", "a2"} {
			is.NoErr(f.adapter(name))
		}
		time.Sleep(minAdapterIdle)
		f.engine.blocksUnloads = true
		is.True(f.adapter("a3") != nil)
		is.True(!f.engine.overfull)
	})
}

// TestWaitingUnloadIsCountedOnce guards against a wrong sequence: an engine accepts a repeated
// order to unload an adapter in use while the first one waits, but does not count it.
func TestWaitingUnloadIsCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		for _, name := range []string{"a0", "a1", "a2"} {
			is.NoErr(f.adapter(name))
		}
		f.engine.blocksUnloads = true
		for range 2 {
			time.Sleep(minAdapterIdle)
			is.True(f.adapter("a3") != nil)
		}
		f.engine.blocksUnloads, f.engine.unloadWaiting = false, false
		f.engine.models["m0"] = map[string]bool{
			"m0/a1": true,
			"m0/a2": true,
		}
		time.Sleep(reportLag)
		f.writeEntry()
		orders := len(f.engine.orders)
		is.NoErr(f.adapter("a3"))
		is.Equal(len(f.engine.orders), orders+1) // none conflicted
	})
}

// TestConflictIsResolvedWithinOneRequest checks that a conflict does not fail the request. It
// occurs when the engine carries out an order of a previous holder only after the new holder
// has read the sequence.
func TestConflictIsResolvedWithinOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		is.NoErr(f.adapter("a0"))
		f.engine.sequence++
		is.NoErr(f.adapter("a1"))
	})
}

func TestOrderWithoutAnswerIsResolvedByTheReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		is.NoErr(f.adapter("a0"))
		f.engine.silent = true
		is.True(f.adapter("a1") != nil)
		f.engine.silent = false
		f.engine.carryOut(f.engine.orders[len(f.engine.orders)-1]) // carried out after the answer was lost
		is.NoErr(f.adapter("a2"))
		is.Equal(f.reportReads, 2)
		is.True(!f.engine.overfull)
	})
}

// TestAdapterOfAnOrderWithoutAnswerCountsWhileEntriesLag guards against an adapter that the engine's own report showed,
// after an order without an answer, and that an older entry makes the holder forget.
func TestAdapterOfAnOrderWithoutAnswerCountsWhileEntriesLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		is.NoErr(f.adapter("a0"))
		earlier := f.engine.report()
		f.engine.silent = true
		is.True(f.adapter("a1") != nil)
		f.engine.silent = false
		f.engine.carryOut(f.engine.orders[len(f.engine.orders)-1])
		is.NoErr(f.adapter("a2"))
		f.deliverEntry(earlier)
		time.Sleep(minAdapterIdle)
		_ = f.adapter("a3")
		is.True(!f.engine.overfull)
		time.Sleep(2 * reportLag)
		f.writeEntry()
		is.NoErr(f.adapter("a4")) // what is shown by entries alone counts again
		is.True(!f.engine.overfull)
	})
}

// TestOrdersAreCountedWhenEntriesComeLate guards against an entry that arrives long after it was written, as after an outage of
// the store or through other instances, and that makes the holder forget its orders since.
func TestOrdersAreCountedWhenEntriesComeLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		written := f.engine.report()
		for _, name := range []string{"a0", "a1", "a2"} {
			is.NoErr(f.adapter(name))
		}
		time.Sleep(2 * reportLag)
		f.deliverEntry(written)
		is.NoErr(f.adapter("a3"))
		is.True(!f.engine.overfull)
		reads := f.reads()
		f.writeEntry()
		for _, name := range []string{"a4", "a5"} {
			time.Sleep(2 * reportLag)
			f.writeEntry()
			is.NoErr(f.adapter(name))
		}
		is.True(!f.engine.overfull)
		is.Equal(f.reads(), reads) // entries that show the orders need no report
	})
}

// TestModelCountsUntilItsLoadIsDone guards against swaps that order an engine to load more
// than its memory: entries show a model only once it is loaded, so that one being loaded could
// be missed.
func TestModelCountsUntilItsLoadIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		for range 300 { // enough demand to justify swaps; the load limiter allows them too
			f.AddDemand("m1", "", 1000)
			f.AddDemand("m2", "", 1000)
			f.AddDemand("m3", "", 1000)
		}
		for tick := range 400 {
			for _, model := range []string{"m1", "m2", "m3"} {
				_, _, _ = f.loadModel(context.Background(), dutyName(0), f.term, "engines", model)
			}
			if tick%12 == 0 {
				f.writeEntry()
			}
			f.refreshViews(context.Background())
			time.Sleep(100 * time.Millisecond)
		}
		is.True(!f.engine.overfull)
		is.True(len(f.engine.orders) > 1)
		time.Sleep(swapTimeout)
	})
}

// TestModelIsReadyOnceItsEngineReportsIt checks a load that takes longer than expected: the model
// counts as ready only once the engine reports it, since the engine refuses requests that come
// before.
func TestModelIsReadyOnceItsEngineReportsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.refreshViews(context.Background())
		f.engine.slow = 3 * time.Second
		f.AddDemand("m0", "", 1000)
		_, _, err := f.loadModel(context.Background(), dutyName(0), f.term, "engines", "m0")
		is.True(err != nil) // the load limiter starts without a token
		time.Sleep(time.Second)
		began := time.Now()
		_, until, err := f.loadModel(context.Background(), dutyName(0), f.term, "engines", "m0")
		is.NoErr(err)
		is.True(until.Sub(began) >= modelLoadTime)
		time.Sleep(modelLoadTime + time.Second)
		_, until, err = f.loadModel(context.Background(), dutyName(0), f.term, "engines", "m0")
		is.NoErr(err)
		is.True(until.After(time.Now())) // not yet
		is.True(!f.isReportedLoaded("m0"))
		time.Sleep(3 * time.Second)
		_, until, err = f.loadModel(context.Background(), dutyName(0), f.term, "engines", "m0")
		is.NoErr(err)
		is.True(!until.After(time.Now()))
		is.True(f.isReportedLoaded("m0"))
		is.Equal(len(f.engine.orders), 1)
	})
}

// TestSwapsOfAnEngineDoNotOverlap checks a load that takes longer than expected while another
// model is requested. Overlapping swaps would use the memory that the other one has freed.
func TestSwapsOfAnEngineDoNotOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		f.refreshViews(context.Background())
		f.engine.slow = 3 * time.Second
		for range 100 {
			f.AddDemand("m1", "", 1000)
			f.AddDemand("m2", "", 1000)
		}
		load := func(model string) error {
			_, _, err := f.loadModel(context.Background(), dutyName(0), f.term, "engines", model)
			return err
		}
		_ = load("m1") // the load limiter starts without a token
		time.Sleep(time.Second)
		is.NoErr(load("m1"))
		time.Sleep(modelLoadTime + time.Second)
		is.True(load("m2") != nil) // the load of m1 is not done yet
		time.Sleep(3 * time.Second)
		f.writeEntry()
		is.True(f.engine.holds("m1"))
		time.Sleep(minResidence)
		is.NoErr(load("m2"))
		time.Sleep(modelLoadTime + 4*time.Second)
		is.True(f.engine.holds("m2"))
		is.True(!f.engine.overfull)
	})
}

// TestNewHolderReadsTheEnginesReports checks that a new holder reads the engines' own reports,
// since list entries do not yet show what the previous holder had loaded.
func TestNewHolderReadsTheEnginesReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		f.engine.models["m1"] = map[string]bool{}
		f.term.Epoch = 2
		ctx, cancel := context.WithCancel(context.Background())
		go f.Run(ctx)
		time.Sleep(f.config.GracePeriod + runInterval + time.Millisecond)
		is.Equal(f.reads(), 1)
		is.True(f.isHeld("e", "m1"))
		f.writeEntry()
		time.Sleep(2 * reportLag)
		is.True(f.isHeld("e", "m1"))
		is.Equal(f.reads(), 1)
		cancel()
		time.Sleep(runInterval)
	})
}

func TestNewHolderWaitsForTheGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		f.term.Epoch = 2
		ask := func() *stagerpb.Told {
			return f.sendToDomain(context.Background(), f.config.Self.Domain, &stagerpb.Ask{
				Engine:     "e",
				Checkpoint: "m0",
				Adapter:    "m0/a0",
			})
		}
		is.True(ask().GetRefused() != "")
		is.Equal(len(f.engine.orders), 0)
		time.Sleep(f.config.GracePeriod)
		is.Equal(ask().GetRefused(), "")
		f.holdsDuty = false
		is.True(ask().GetRefused() != "") // and no other holder is known
	})
}

func TestTermIsCheckedBeforeEachOrder(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "m0")
	f.term.Check = func() error { return unavailable("the term has ended") }
	is.True(f.adapter("a0") != nil)
	is.Equal(len(f.engine.orders), 0)
}

func TestRequestsForOneAdapterShareOneLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		var group sync.WaitGroup
		began := time.Now()
		for range 20 {
			group.Go(func() {
				err := f.LoadAdapter(context.Background(), &router.Choice{
					Upstream: "e",
				}, router.Need{
					Checkpoint: "m0",
					Adapter:    "m0/a0",
				})
				is.NoErr(err)
			})
		}
		group.Wait()
		is.Equal(len(f.engine.orders), 1)
		is.Equal(time.Since(began), DefaultAdapterLoadTime) // all waited for the load
	})
}

func TestDemandIsSummedAndExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first, second := newDemand(time.Now), newDemand(time.Now)
		for range 10 {
			first.add("m", 1000)
			second.add("m", 1000)
		}
		second.announce(&stagerpb.Change{
			Engine:     "e",
			Checkpoint: "m",
		})
		changes, err := first.applyEncoded("two", second.encode())
		is.NoErr(err)
		is.Equal(changes[0].GetEngine(), "e")
		is.True(first.rates()["m"] > 1900)
		_, err = first.applyEncoded("two", []byte("\xff"))
		is.True(err != nil)
		time.Sleep(peerDemandTTL + time.Second)
		is.True(first.rates()["m"] < 1000) // the peer's demand has expired
		time.Sleep(2 * time.Minute)
		is.Equal(len(first.encode()), 0)
	})
}
