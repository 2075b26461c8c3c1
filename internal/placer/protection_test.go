package placer

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// runScenario runs a scripted sequence of events without random faults. Instance 0 of the
// domain holds the duty at first.
func runScenario(t *testing.T, disabled disabledProtections, script func(sim *simulation, d *fakeDomain)) (result *checker) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		sim := newSimulation(ctx, 1, disabled)
		sim.endFaults()
		time.Sleep(4 * time.Second)
		script(sim, sim.domains[0])
		time.Sleep(15 * time.Second)
		cancel()
		result = sim.checker
		time.Sleep(time.Minute)
	})
	return result
}

// request sends demand for a model to instance 1.
func (d *fakeDomain) request(model, class string) {
	d.instances[1].addDemand(Demand{
		Model:    model,
		Class:    class,
		Deadline: time.Now().Add(time.Minute),
	})
}

// requestAdapter sends demand for an adapter to instance 1, with a deadline after timeout.
func (d *fakeDomain) requestAdapter(model, adapter string, timeout time.Duration) {
	d.instances[1].addDemand(Demand{
		Model:    model,
		Adapter:  adapter,
		Class:    ClassInteractive,
		Deadline: time.Now().Add(timeout),
	})
}

// awaitOrder waits for the first order to load a model and returns its engine.
func (d *fakeDomain) awaitOrder(model string) *fakeEngine {
	for {
		for _, g := range d.instances[0].placer.groups {
			g.mutex.Lock()
			ledger := g.ledger
			g.mutex.Unlock()
			if ledger == nil {
				continue
			}
			for _, intent := range ledger.Intents {
				if intent.Model == model {
					time.Sleep(time.Millisecond)
					return d.engine(intent.Engine)
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// crashAfterOrder kills the holder while its order is on the way to an engine whose reports
// are delayed, and marks that engine as leaving, so that the next holder would choose another
// one.
func crashAfterOrder(sim *simulation, d *fakeDomain) {
	sim.delayOrders(300 * time.Millisecond)
	d.request("m1", ClassInteractive)
	engine := d.awaitOrder("m1")
	engine.setReportLag(6 * time.Second)
	engine.leave()
	d.instances[0].kill()
	sim.delayOrders(0)
}

// crashDuringOutage lets the holder load a model under its allowances during a store outage
// and then kills it.
func crashDuringOutage(sim *simulation, d *fakeDomain) {
	sim.store.setFaults(true, false)
	time.Sleep(500 * time.Millisecond)
	crashAfterOrder(sim, d)
	sim.store.setFaults(false, false)
}

// deliverOrderLate delays an order until just before its expiry.
func deliverOrderLate(sim *simulation, d *fakeDomain) {
	d.cacheOnDisk("m1:v1")
	time.Sleep(time.Second)
	sim.delayOrders(900 * time.Millisecond)
	d.request("m1", ClassInteractive)
	d.awaitOrder("m1").leave()
	sim.delayOrders(0)
}

// overcommitEngine requests two models that do not fit into one engine together. The second
// and more urgent one is requested before a report can show the first.
func overcommitEngine(_ *simulation, d *fakeDomain) {
	d.engines[1].leave()
	d.engines[2].leave()
	d.engines[0].setReportLag(2 * time.Second)
	d.cacheOnDisk("m7:v1", "m6:v1")
	time.Sleep(4 * time.Second)
	d.request("m7", ClassOvernight)
	time.Sleep(300 * time.Millisecond)
	d.request("m6", ClassInteractive)
}

// cacheOnDisk puts checkpoints on the disks of all engines, so that loads need no slot.
func (d *fakeDomain) cacheOnDisk(checkpoints ...string) {
	for _, engine := range d.engines {
		engine.mutex.Lock()
		for _, checkpoint := range checkpoints {
			engine.disk[checkpoint] = true
		}
		engine.mutex.Unlock()
	}
}

// freezeBeforeOrder freezes the holder between its record and its order for longer than its
// lease. The engines ignore expiry and fencing numbers.
func freezeBeforeOrder(sim *simulation, d *fakeDomain) {
	for _, engine := range d.engines {
		engine.mutex.Lock()
		engine.ignoresExpiry = true
		engine.fencing = false
		engine.mutex.Unlock()
	}
	sim.store.mutex.Lock()
	recordExtra := sim.store.onWrite
	frozen := false
	sim.store.onWrite = func(key string, value []byte) {
		recordExtra(key, value)
		if !frozen && strings.Contains(string(value), `"model":"m1","version"`) {
			frozen = true
			d.instances[0].freeze(8 * time.Second)
		}
	}
	sim.store.mutex.Unlock()
	d.request("m1", ClassInteractive)
	d.awaitOrder("m1").leave()
}

// readAdaptersSlowly requests a third adapter beside a copy whose pool holds two, while
// those two are still being read after their orders have expired and no request waits for
// them.
func readAdaptersSlowly(sim *simulation, d *fakeDomain) {
	sim.enableAdapters()
	d.cacheOnDisk("m1:v1")
	time.Sleep(time.Second)
	d.request("m1", ClassInteractive)
	time.Sleep(time.Second)
	for _, adapter := range []string{"m1/a0", "m1/a1"} {
		d.requestAdapter("m1", adapter, time.Second)
	}
	time.Sleep(adapterLoadTime - 200*time.Millisecond)
	d.requestAdapter("m1", "m1/a2", time.Minute)
}

// TestEachProtectionIsNeeded checks for each protection that a scenario passes with it and
// violates a limit without it.
func TestEachProtectionIsNeeded(t *testing.T) {
	for name, test := range map[string]struct {
		disabled disabledProtections
		script   func(*simulation, *fakeDomain)
	}{
		"records": {
			disabled: disabledProtections{
				records: true,
			},
			script: crashAfterOrder,
		},
		"quarantine": {
			disabled: disabledProtections{
				quarantine: true,
			},
			script: crashDuringOutage,
		},
		"charges": {
			disabled: disabledProtections{
				charges: true,
			},
			script: overcommitEngine,
		},
		"expiryWait": {
			disabled: disabledProtections{
				expiryWait: true,
			},
			script: deliverOrderLate,
		},
		"readingAdapters": {
			disabled: disabledProtections{
				readingAdapters: true,
			},
			script: readAdaptersSlowly,
		},
		"termChecks": {
			disabled: disabledProtections{
				termChecks: true,
			},
			script: freezeBeforeOrder,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(runScenario(t, disabledProtections{}, test.script).violations, map[string]int{})
			without := runScenario(t, test.disabled, test.script)
			t.Log(without.first)
			is.True(without.violations["replicas"]+without.violations["memory"]+without.violations["pool"] > 0)
		})
	}
}

// TestSlotProtectionIsNeeded checks that the weight store's limits are exceeded if used slots are
// ignored.
func TestSlotProtectionIsNeeded(t *testing.T) {
	is := is.New(t)
	// Goroutine scheduling differs between runs of one seed, so a single history may stay within the limits by chance.
	violations := 0
	for seed := range uint64(10) {
		result, _ := runHistory(t, seed, disabledProtections{
			slots: true,
		})
		violations += result.violations["slots"] + result.violations["rate"]
	}
	is.True(violations > 0)
}

// TestCheckerReportsViolations checks that the checker reports every kind of violation,
// and nothing at the limits themselves.
func TestCheckerReportsViolations(t *testing.T) {
	is := is.New(t)
	c := newChecker()
	copies := []reporter.Copy{
		{
			Bytes: 20,
		},
		{
			Bytes: 10,
		},
	}
	extra := map[string]bool{
		"x": true,
	}
	c.memory("e", 30, copies)
	c.pool("e m", poolBytes)
	c.replicas("m", 1, []string{"a"}, extra)
	c.replicas("m", 1, []string{"a", "x"}, extra)
	c.loads(slotLimit, rateLimit)
	is.Equal(c.total(), 0)
	c.memory("e", 29, copies)
	is.Equal(c.violations["memory"], 1)
	c.pool("e m", poolBytes+1)
	is.Equal(c.violations["pool"], 1)
	c.replicas("m", 1, []string{"a", "b"}, extra)
	c.replicas("m", 1, []string{"a", "b", "x"}, extra)
	is.Equal(c.violations["replicas"], 2)
	c.loads(slotLimit+1, rateLimit+1)
	is.Equal(c.violations["slots"], 1)
	is.Equal(c.violations["rate"], 1)
	c.unserved("m")
	is.Equal(c.violations["unserved"], 1)
}
