package stager

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// fill loads as many adapters as the engine has slots, and waits until they may be evicted.
func (f *fixture) fill(is *is.I) {
	for _, name := range []string{"a0", "a1", "a2"} {
		is.NoErr(f.adapter(name))
		time.Sleep(time.Millisecond)
	}
	time.Sleep(reportLag)
	f.writeEntry()
}

// lose requests an adapter whose load is left unanswered.
func (f *fixture) lose(is *is.I, name string) {
	f.engine.loses = func() bool {
		last := f.engine.orders[len(f.engine.orders)-1]
		return !last.Unload
	}
	is.True(f.adapter(name) != nil)
	f.engine.loses = nil
}

// succeed makes another instance the holder of the duty.
func (f *fixture) succeed() {
	f.term.Epoch++
	f.Stager = New(f.config)
}

// TestLateOrderDoesNotOverfillTheEngine carries out an order that was left unanswered once the engine is full again, if its
// sequence permits that then.
func TestLateOrderDoesNotOverfillTheEngine(t *testing.T) {
	cases := map[string]func(is *is.I, f *fixture){
		"after an unload that held already": func(is *is.I, f *fixture) {
			f.engine.blocksUnloads = true
			is.True(f.adapter("a3") != nil)
			before := f.engine.report()
			f.reported = func() reporter.Report { return before }
			time.Sleep(busyRetryDelay)
			is.NoErr(f.adapter("a1"))
			is.NoErr(f.adapter("a2"))
			f.engine.endRuns()
			f.lose(is, "a3")
			f.reported = nil
			is.NoErr(f.adapter("a4"))
		},
		"after an unload that was done at once": func(is *is.I, f *fixture) {
			f.lose(is, "a3")
			is.NoErr(f.adapter("a4"))
		},
		"that brings back what was dropped": func(is *is.I, f *fixture) {
			f.lose(is, "a3")
			f.lose(is, "a0")
			f.engine.arrive(f.engine.late[1])
			time.Sleep(minAdapterIdle)
			is.NoErr(f.adapter("a4"))
		},
		"under the next holder": func(is *is.I, f *fixture) {
			f.lose(is, "a3")
			f.succeed()
			time.Sleep(minAdapterIdle)
			is.NoErr(f.adapter("a4"))
		},
		"that followed a conflict for another reason, under the next holder": func(is *is.I, f *fixture) {
			f.engine.loses = func() bool { return true }
			before := f.engine.report()
			is.True(f.adapter("a3") != nil) // the unload of a0 is lost
			f.engine.arrive(f.engine.late[0])
			is.NoErr(f.adapter("a2")) // reads the engine's report
			f.deliverEntry(before)    // an old entry still shows a0
			time.Sleep(minAdapterIdle)
			f.engine.loses = func() bool { return f.engine.orders[len(f.engine.orders)-1].Sequence > f.engine.sequence }
			f.engine.coming = true
			is.True(f.adapter("a3") != nil)
			f.engine.coming, f.engine.loses = false, nil
			f.succeed()
			is.NoErr(f.adapter("a4"))
		},
		"after a restart under the same name": func(is *is.I, f *fixture) {
			f.lose(is, "a8")
			f.engine.restart()
			f.writeEntry()
			for number := range 6 {
				time.Sleep(minAdapterIdle)
				_ = f.adapter(fmt.Sprintf("a%d", number))
				for _, order := range f.engine.late {
					f.engine.arrive(order)
				}
			}
		},
	}
	for name, play := range cases {
		for _, uncounted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, uncounted %v", name, uncounted), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFixture(t, "m0")
					f.engine.uncounted = uncounted
					f.fill(is)
					play(is, f)
					for _, order := range f.engine.late {
						f.engine.arrive(order)
					}
					is.True(!f.engine.overfull)
				})
			})
		}
	}
}

// TestOldEntryDoesNotHideAnAdapter guards against an engine that is overfilled because list entries were held up for longer than its
// report is kept, and the first of them shows by chance what the report showed.
func TestOldEntryDoesNotHideAnAdapter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0")
		f.fill(is)
		heldUp := []reporter.Report{f.engine.report()}
		for _, name := range []string{"a3", "a0", "a1", "a2"} { // each evicts the next one in turn
			time.Sleep(minAdapterIdle)
			is.NoErr(f.adapter(name))
			heldUp = append(heldUp, f.engine.report())
		}
		is.Equal(contentsOf(heldUp[0]), contentsOf(f.engine.report()))
		f.view("e").sequenceUnknown = true // so that the engine's report is read
		f.refreshEngine(t.Context(), f.entry().Instance)
		time.Sleep(reportLag)
		for _, entry := range heldUp[:2] {
			f.deliverEntry(entry)
			f.refreshEngine(t.Context(), f.entry().Instance)
		}
		_ = f.adapter("a4")
		is.True(!f.engine.overfull)
	})
}

// TestEvictionCostsNoConflict guards against a wait at each eviction: only the first one of a holder finds out whether the
// engine counts unloads that it does at once.
func TestEvictionCostsNoConflict(t *testing.T) {
	for _, uncounted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, "m0")
			f.engine.uncounted = uncounted
			f.fill(is)
			orders, reads := len(f.engine.orders), f.reads()
			for _, name := range []string{"a3", "a4", "a5", "a6"} {
				time.Sleep(minAdapterIdle)
				is.NoErr(f.adapter(name))
			}
			is.True(len(f.engine.orders)-orders <= 9) // an unload and a load each, and one conflict
			is.Equal(f.reads(), reads)
		})
	}
}

// TestLateOrdersKeepEnginesWithinTheirLimits plays random histories: orders are left unanswered and carried out up to 12 s
// later, reports are 300 ms old, entries older, requests use adapters, and the duty changes hands. Once the trouble ends every
// adapter is loaded soon.
func TestLateOrdersKeepEnginesWithinTheirLimits(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLateOrders(t, seed) })
		})
	}
}

// playLateOrders plays one history.
func playLateOrders(t *testing.T, seed uint64) {
	t.Helper()
	const tick = 50 * time.Millisecond
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 1))
	f := newFixture(t, "m0")
	f.engine.uncounted = seed%2 == 1
	swaps := seed%4 >= 2
	losses := rand.New(rand.NewPCG(seed, 2)) // drawn from with the engine locked, also by swaps
	f.engine.loses = func() bool { return losses.Float64() < 0.35 }
	var reading sync.Mutex
	past := []reporter.Report{f.engine.report()}
	f.reported = func() reporter.Report {
		reading.Lock()
		defer reading.Unlock()
		return past[max(0, len(past)-6)]
	}
	due := map[time.Time][]Order{}
	advance := func() {
		for _, order := range f.engine.takeLate() {
			at := time.Now().Add(2*time.Second + time.Duration(random.IntN(200))*tick)
			due[at.Truncate(tick)] = append(due[at.Truncate(tick)], order)
		}
		time.Sleep(tick)
		for _, order := range due[time.Now().Truncate(tick)] {
			f.engine.arrive(order)
		}
		next := f.engine.report()
		reading.Lock()
		past = append(past, next)
		reading.Unlock()
		if len(past)%30 == 0 {
			f.deliverEntry(past[len(past)-20])
		}
	}
	step := func(name string) error {
		err := f.adapter(name)
		var unanswered *Unanswered
		if errors.As(err, &unanswered) {
			for range 5 {
				advance()
			}
		}
		advance()
		return err
	}
	for range 1200 { // a minute
		switch random.IntN(200) {
		case 0:
			f.succeed()
		case 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12:
			f.engine.set(func() { f.engine.blocksUnloads = true })
		case 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24:
			f.engine.endRuns()
		case 25:
			if swaps {
				f.AddDemand("m1", "", 3000)
				f.AddDemand("m2", "", 3000)
				_, _, _ = f.loadModel(context.Background(), dutyName(0), f.term, "engines", []string{"m1", "m2"}[random.IntN(2)])
			}
		}
		switch random.IntN(20) {
		case 0, 1:
			_ = step(fmt.Sprintf("a%d", 2+random.IntN(6)))
		case 2, 3, 4, 5, 6, 7:
			_ = step(fmt.Sprintf("a%d", random.IntN(2)))
		default:
			advance()
		}
		is.True(!f.engine.exceeded())
	}
	f.engine.set(func() { f.engine.loses = nil })
	f.engine.endRuns()
	time.Sleep(swapTimeout)
	f.engine.endRuns()
	if !f.engine.holds("m0") {
		return
	}
	var errs []error
	for range 60 {
		errs = append(errs, step("a8"))
	}
	is.True(slices.Contains(errs, nil))
	is.True(!f.engine.exceeded())
	time.Sleep(time.Minute)
}
