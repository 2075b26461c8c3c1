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

func (f *fixture) adapter(name string) error {
	_, err := f.loadAdapter(context.Background(), f.term, "e", "m0", "m0/"+name)
	return err
}

func TestSequenceComesFromTheReportAndNotFromTheEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		f.engine.sequence = 7 // a former holder's orders
		is.NoErr(f.adapter("a0"))
		is.NoErr(f.adapter("a1"))
		is.Equal(len(f.engine.orders), 2) // none conflicted
		is.Equal(f.calls, 1)
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
		is.True(f.adapter("a3") != nil) // all were asked for just now
		time.Sleep(warm)
		is.NoErr(f.adapter("a1"))
		is.NoErr(f.adapter("a3"))
		is.True(!f.engine.models["m0"]["m0/a0"]) // asked for longest ago
		is.True(f.engine.models["m0"]["m0/a1"])
		is.True(!f.engine.overfull)
		orders := len(f.engine.orders)
		is.NoErr(f.adapter("a3"))
		is.Equal(len(f.engine.orders), orders) // it holds already
	})
}

// TestOrdersCountWhileNoEntriesCome plays the cut of a holder from the store:
// what it read before does not show its orders, however old they get.
func TestOrdersCountWhileNoEntriesCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		for _, name := range []string{"a0", "a1", "a2", "a3", "a4"} {
			is.NoErr(f.adapter(name))
			time.Sleep(2 * time.Second)
		}
		is.True(!f.engine.overfull)
		f.tell() // entries come again
		is.NoErr(f.adapter("a5"))
		is.True(!f.engine.overfull)
	})
}

// TestDemandedAdaptersStay plays adapters that requests find loaded, so that
// nobody asks for their loads any more.
func TestDemandedAdaptersStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		for _, name := range []string{"a0", "a1", "a2"} {
			is.NoErr(f.adapter(name))
			time.Sleep(time.Millisecond)
		}
		time.Sleep(warm)
		f.Want("m0", "m0/a0", 1000)
		is.NoErr(f.adapter("a3"))
		is.True(f.engine.models["m0"]["m0/a0"])
		is.True(!f.engine.models["m0"]["m0/a1"])
	})
}

func TestAdapterInUseIsNotCountedAsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		for _, name := range []string{"a0", "a1", "a2"} {
			is.NoErr(f.adapter(name))
		}
		time.Sleep(warm)
		f.engine.stuck = true
		is.True(f.adapter("a3") != nil)
		is.True(!f.engine.overfull)
	})
}

// TestUnloadThatWaitsIsNotCountedTwice: an engine accepts the order to drop an
// adapter in use again while it waits, without counting that.
func TestUnloadThatWaitsIsNotCountedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		for _, name := range []string{"a0", "a1", "a2"} {
			is.NoErr(f.adapter(name))
		}
		f.engine.stuck = true
		for range 2 {
			time.Sleep(warm)
			is.True(f.adapter("a3") != nil)
		}
		f.engine.stuck, f.engine.waits = false, false
		f.engine.models["m0"] = map[string]bool{
			"m0/a1": true,
			"m0/a2": true,
		}
		time.Sleep(settling)
		f.tell()
		orders := len(f.engine.orders)
		is.NoErr(f.adapter("a3"))
		is.Equal(len(f.engine.orders), orders+1) // none conflicted
	})
}

// TestConflictIsSettledWithinTheQuestion: an order of a former holder is
// carried out late, so that the sequence is another one than was known.
func TestConflictIsSettledWithinTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		is.NoErr(f.adapter("a0"))
		f.engine.sequence++
		is.NoErr(f.adapter("a1"))
	})
}

func TestOrderWithoutAnswerIsSettledByTheReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		is.NoErr(f.adapter("a0"))
		f.engine.silent = true
		is.True(f.adapter("a1") != nil)
		f.engine.silent = false
		f.engine.carryOut(f.engine.orders[len(f.engine.orders)-1]) // it was carried out late
		is.NoErr(f.adapter("a2"))
		is.Equal(f.calls, 2)
		is.True(!f.engine.overfull)
	})
}

// TestModelCountsUntilItsLoadIsDone plays the swaps that ordered an engine to
// load more than its memory: entries show a model only once it is loaded.
func TestModelCountsUntilItsLoadIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		for range 300 { // the pace of the weight store and the demand allow it
			f.Want("m1", "", 1000)
			f.Want("m2", "", 1000)
			f.Want("m3", "", 1000)
		}
		for tick := range 400 {
			for _, model := range []string{"m1", "m2", "m3"} {
				_, _, _ = f.loadModel(context.Background(), duty(0), f.term, "engines", model)
			}
			if tick%12 == 0 {
				f.tell()
			}
			f.examine(context.Background())
			time.Sleep(100 * time.Millisecond)
		}
		is.True(!f.engine.overfull)
		is.True(len(f.engine.orders) > 1)
		time.Sleep(swapTime)
	})
}

// TestModelIsReadyOnceItsEngineSaysSo plays a load that takes longer than it
// should: requests that came at the expected time were refused by the engine.
func TestModelIsReadyOnceItsEngineSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.examine(context.Background())
		f.engine.slow = 3 * time.Second
		f.Want("m0", "", 1000)
		_, _, err := f.loadModel(context.Background(), duty(0), f.term, "engines", "m0")
		is.True(err != nil) // the pace of the weight store starts empty
		time.Sleep(time.Second)
		began := time.Now()
		_, until, err := f.loadModel(context.Background(), duty(0), f.term, "engines", "m0")
		is.NoErr(err)
		is.True(until.Sub(began) >= loadTime6)
		time.Sleep(loadTime6 + time.Second)
		_, until, err = f.loadModel(context.Background(), duty(0), f.term, "engines", "m0")
		is.NoErr(err)
		is.True(until.After(time.Now())) // not yet
		is.True(!f.isNoted("m0"))
		time.Sleep(3 * time.Second)
		_, until, err = f.loadModel(context.Background(), duty(0), f.term, "engines", "m0")
		is.NoErr(err)
		is.True(!until.After(time.Now()))
		is.True(f.isNoted("m0"))
		is.Equal(len(f.engine.orders), 1)
	})
}

// TestSwapsOfAnEngineFollowEachOther plays a load that takes longer than it
// should while other models are wanted: swaps that crossed took each other's room.
func TestSwapsOfAnEngineFollowEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		f.examine(context.Background())
		f.engine.slow = 3 * time.Second
		for range 100 {
			f.Want("m1", "", 1000)
			f.Want("m2", "", 1000)
		}
		load := func(model string) error {
			_, _, err := f.loadModel(context.Background(), duty(0), f.term, "engines", model)
			return err
		}
		_ = load("m1") // the pace of the weight store starts empty
		time.Sleep(time.Second)
		is.NoErr(load("m1"))
		time.Sleep(loadTime6 + time.Second)
		is.True(load("m2") != nil) // that of m1 is not done yet
		time.Sleep(3 * time.Second)
		f.tell()
		is.True(f.engine.holds("m1"))
		time.Sleep(residence)
		is.NoErr(load("m2"))
		time.Sleep(loadTime6 + 4*time.Second)
		is.True(f.engine.holds("m2"))
		is.True(!f.engine.overfull)
	})
}

// TestNewHolderReadsWhatEnginesHold: entries do not yet show what a former
// holder had an engine load.
func TestNewHolderReadsWhatEnginesHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		f.engine.models["m1"] = map[string]bool{}
		f.term.Epoch = 2
		ctx, cancel := context.WithCancel(context.Background())
		go f.Run(ctx)
		time.Sleep(f.config.Quiet + watching + time.Millisecond)
		is.Equal(f.reads(), 1)
		is.True(f.isHeld("e", "m1"))
		f.tell()
		time.Sleep(2 * settling)
		is.True(f.isHeld("e", "m1"))
		is.Equal(f.reads(), 1)
		cancel()
		time.Sleep(watching)
	})
}

func TestNewHolderKeepsStillForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		f.term.Epoch = 2
		ask := func() *stagerpb.Told {
			return f.answer(context.Background(), &stagerpb.Ask{
				Engine:     "e",
				Checkpoint: "m0",
				Adapter:    "m0/a0",
			})
		}
		is.True(ask().GetRefused() != "")
		is.Equal(len(f.engine.orders), 0)
		time.Sleep(f.config.Quiet)
		is.Equal(ask().GetRefused(), "")
		f.held = false
		is.True(ask().GetRefused() != "") // and nobody else is known to hold it
	})
}

func TestTermIsCheckedBeforeEachOrder(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "m0")
	f.term.Check = func() error { return unavailable("the term has ended") }
	is.True(f.adapter("a0") != nil)
	is.Equal(len(f.engine.orders), 0)
}

func TestRequestsForOneAdapterShareAQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		var group sync.WaitGroup
		began := time.Now()
		for range 20 {
			group.Go(func() {
				err := f.Prepare(context.Background(), &router.Choice{
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
		is.Equal(time.Since(began), DefaultAdapter) // all waited for the load
	})
}

func TestDemandIsSummedAndForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		one, two := newDemand(time.Now), newDemand(time.Now)
		for range 10 {
			one.note("m", 1000)
			two.note("m", 1000)
		}
		two.announce(&stagerpb.Change{
			Engine:     "e",
			Checkpoint: "m",
		})
		changes, err := one.take("two", two.digest())
		is.NoErr(err)
		is.Equal(changes[0].GetEngine(), "e")
		is.True(one.rates()["m"] > 1900)
		_, err = one.take("two", []byte("\xff"))
		is.True(err != nil)
		time.Sleep(demandAge + time.Second)
		is.True(one.rates()["m"] < 1000) // the peer is silent
		time.Sleep(2 * time.Minute)
		is.Equal(len(one.digest()), 0)
	})
}
