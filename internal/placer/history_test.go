package placer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/verifier/seeder"
)

const (
	// faultTime is how long faults are injected.
	faultTime = 30 * time.Second
	// recoveryTime is how long requests may wait after the faults have ended.
	recoveryTime = 45 * time.Second
)

// runHistory runs a simulation with the random faults of a seed and returns the violations
// and the number of served requests.
func runHistory(t *testing.T, seed uint64, disabled disabledProtections) (result *checker, served int) {
	return runHistoryWithPlanner(t, seed, disabled, Decide)
}

// runHistoryWithPlanner is runHistory with a given planner.
func runHistoryWithPlanner(t *testing.T, seed uint64, disabled disabledProtections, planner Planner) (result *checker, served int) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		sim := newSimulationWithPlanner(ctx, seed, disabled, planner)
		sim.enableAdapters()
		until := time.Now().Add(faultTime)
		for time.Now().Before(until) {
			go sim.request(until.Add(recoveryTime))
			sim.injectFault()
			time.Sleep(sim.draw(800 * time.Millisecond))
		}
		sim.endFaults()
		time.Sleep(recoveryTime + 2*time.Second)
		cancel()
		synctest.Wait()
		result = sim.checker
		sim.mutex.Lock()
		served = sim.served
		sim.mutex.Unlock()
		time.Sleep(time.Minute)
	})
	return result, served
}

// request sends demand for a model to an instance and waits until the model is loaded. The
// demand counts as unserved if that does not happen by the deadline, which is after the
// faults have ended, unless the instance died or the adapter was withdrawn.
func (sim *simulation) request(deadline time.Time) {
	domain := sim.domains[sim.draw(time.Duration(len(sim.domains)))]
	instance := domain.instances[sim.draw(instancesPerDomain)]
	model := fmt.Sprintf("m%d", sim.draw(modelCount))
	adapter := ""
	if sim.draw(2) == 0 {
		adapter = fmt.Sprintf("%s/a%d", model, sim.draw(adapterCount))
	}
	incarnation := instance.runningIncarnation()
	if !instance.addDemand(Demand{
		Model:    model,
		Adapter:  adapter,
		Class:    ClassInteractive,
		Tokens:   10,
		Deadline: deadline,
		Team:     "team" + model,
	}) {
		return
	}
	for time.Now().Before(deadline) {
		if instance.runningIncarnation() != incarnation || sim.ctx.Err() != nil {
			return
		}
		catalog := sim.catalog()
		if configured, ok := catalog.Adapter(adapter); ok && catalog.AdapterWithdrawn(configured) {
			return
		}
		_, version, _ := catalog.currentVersion(model)
		for _, engine := range domain.engines {
			if engine.serves(version.Checkpoint, adapter) {
				sim.mutex.Lock()
				sim.served++
				sim.mutex.Unlock()
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	sim.checker.unserved(domain.name + "/" + model + " " + adapter)
}

// runningIncarnation returns the current incarnation, or zero if the instance is dead.
func (i *fakeInstance) runningIncarnation() uint64 {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.placer == nil {
		return 0
	}
	return i.incarnation
}

// injectFault causes one random fault, or none.
func (sim *simulation) injectFault() {
	domain := sim.domains[sim.draw(time.Duration(len(sim.domains)))]
	domain.mutex.Lock()
	holder := domain.holder
	domain.mutex.Unlock()
	switch sim.draw(20) {
	case 0, 1:
		if holder != nil {
			holder.kill()
			go sim.revive(holder)
		}
	case 2, 3, 4:
		if holder != nil {
			holder.freeze(sim.draw(6 * time.Second))
		}
	case 5:
		sim.store.setFaults(true, false)
		go sim.restoreStore(sim.draw(12 * time.Second))
	case 6:
		sim.store.setFaults(false, true)
		go sim.restoreStore(sim.draw(4 * time.Second))
	case 7:
		domain.engines[sim.draw(3)].boot()
	case 8:
		sim.weightStore.setSlowdown(1 + float64(sim.draw(4)))
	case 9:
		domain.engines[sim.draw(3)].setReportLag(sim.draw(2 * time.Second))
	case 10:
		sim.mutex.Lock()
		sim.versions[fmt.Sprintf("m%d", sim.random.IntN(modelCount))] = "v2"
		sim.mutex.Unlock()
	case 11:
		sim.mutex.Lock()
		model := fmt.Sprintf("m%d", sim.random.IntN(modelCount))
		if sim.versions[model] == "v2" {
			sim.withdrawn[model+":v1"] = true
		}
		sim.mutex.Unlock()
	case 13:
		sim.mutex.Lock()
		sim.withdrawn[fmt.Sprintf("m%d/a%d", sim.random.IntN(modelCount), sim.random.IntN(adapterCount))] = true
		sim.mutex.Unlock()
	}
}

// revive restarts a killed instance after up to three seconds.
func (sim *simulation) revive(instance *fakeInstance) {
	time.Sleep(sim.draw(3 * time.Second))
	instance.mutex.Lock()
	dead := instance.placer == nil
	instance.mutex.Unlock()
	if dead && sim.ctx.Err() == nil {
		instance.start()
	}
}

// restoreStore ends the store's faults after a while.
func (sim *simulation) restoreStore(after time.Duration) {
	time.Sleep(after)
	sim.store.setFaults(false, false)
}

// setSlowdown sets the factor by which loads are slowed down.
func (w *fakeWeightStore) setSlowdown(factor float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.slowdown = factor
}

// setReportLag sets the delay of the engine's reports.
func (e *fakeEngine) setReportLag(lag time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.reportLag = lag
}

// endFaults ends all faults.
func (sim *simulation) endFaults() {
	sim.mutex.Lock()
	sim.faulty = false
	sim.mutex.Unlock()
	sim.store.setFaults(false, false)
	sim.weightStore.setSlowdown(1)
	for _, domain := range sim.domains {
		for _, engine := range domain.engines {
			engine.setReportLag(100 * time.Millisecond)
		}
	}
}

// TestHistoriesKeepInvariants checks that under random faults no limit is exceeded and all
// demand is served once the faults have ended.
func TestHistoriesKeepInvariants(t *testing.T) {
	seeds := 200
	if testing.Short() {
		seeds = 20
	}
	for seed := range seeder.Seeds(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			result, served := runHistory(t, uint64(seed), disabledProtections{})
			if result.total() > 0 {
				t.Errorf("violations: %v, first of each: %v", result.violations, result.first)
			}
			if served == 0 {
				t.Error("no request was served")
			}
		})
	}
}
