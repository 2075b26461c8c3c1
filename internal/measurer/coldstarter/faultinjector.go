package coldstarter

import (
	"context"
	"time"
)

const (
	// crashInterval is the time between crashes of engines in the fleet.
	crashInterval = 5 * time.Minute
	// downTime is the time from an engine's crash to its restart, delistTime the
	// time for which the platform still lists the engine after the crash.
	downTime   = time.Minute
	delistTime = 2 * time.Second
	// slowInterval is the time between the starts of slow periods of the weight
	// store, slowTime their length.
	slowInterval = 20 * time.Minute
	slowTime     = 5 * time.Minute
	// slowFactor is the fraction of its full speed that the weight store has in a slow period.
	slowFactor = 0.5
)

// faultInjector crashes engines in turn and slows the weight store down.
type faultInjector struct {
	fleet   *fleet
	crashes int
}

func newFaultInjector(f *fleet) *faultInjector {
	return &faultInjector{
		fleet: f,
	}
}

// plan schedules the first faults.
func (i *faultInjector) plan(ctx context.Context) {
	i.fleet.afterFunc(crashInterval, func() { i.crashNext(ctx) })
	i.fleet.afterFunc(slowInterval, i.slowStore)
}

// crashNext crashes one engine, taking the failure domains in turn, and schedules
// its restart and the next crash.
func (i *faultInjector) crashNext(ctx context.Context) {
	domain := i.fleet.domains[i.crashes%len(i.fleet.domains)]
	target := domain.engines[i.crashes/len(i.fleet.domains)%len(domain.engines)]
	i.crashes++
	target.crash()
	i.fleet.afterFunc(delistTime, domain.refreshList)
	i.fleet.afterFunc(downTime, func() {
		target.crashed = false
		domain.refreshList()
		domain.requestStep(ctx)
	})
	i.fleet.afterFunc(crashInterval, func() { i.crashNext(ctx) })
}

// slowStore begins a slow period of the weight store and schedules its end and the next one.
func (i *faultInjector) slowStore() {
	i.fleet.weightStore.setSpeedFactor(i.fleet.now, slowFactor)
	i.fleet.afterFunc(slowTime, func() { i.fleet.weightStore.setSpeedFactor(i.fleet.now, 1) })
	i.fleet.afterFunc(slowInterval, i.slowStore)
}
