package coldstarter

import (
	"context"
	"time"
)

const (
	// deathInterval is the time between crashes of engines in the fleet.
	deathInterval = 5 * time.Minute
	// deadTime is the time from an engine's crash to its restart, delistTime the
	// time for which the platform still lists it after the crash.
	deadTime   = time.Minute
	delistTime = 2 * time.Second
	// slowInterval is the time between the starts of slow periods of the weight
	// store, slowTime their length.
	slowInterval = 20 * time.Minute
	slowTime     = 5 * time.Minute
	// slowPart is the fraction of its full speed that the weight store has in a slow period.
	slowPart = 0.5
)

// faultInjector crashes engines in turn and slows the weight store down.
type faultInjector struct {
	fleet  *fleet
	deaths int
}

func newFaultInjector(f *fleet) *faultInjector {
	return &faultInjector{
		fleet: f,
	}
}

// plan schedules the first faults.
func (b *faultInjector) plan(ctx context.Context) {
	b.fleet.after(deathInterval, func() { b.killNext(ctx) })
	b.fleet.after(slowInterval, b.slowStore)
}

// killNext crashes one engine, taking the failure domains in turn, and schedules
// its restart and the next crash.
func (b *faultInjector) killNext(ctx context.Context) {
	domain := b.fleet.domains[b.deaths%len(b.fleet.domains)]
	victim := domain.engines[b.deaths/len(b.fleet.domains)%len(domain.engines)]
	b.deaths++
	victim.die()
	b.fleet.after(delistTime, domain.refreshList)
	b.fleet.after(deadTime, func() {
		victim.dead = false
		domain.refreshList()
		domain.requestStep(ctx)
	})
	b.fleet.after(deathInterval, func() { b.killNext(ctx) })
}

// slowStore begins a slow period of the weight store and schedules its end and the next one.
func (b *faultInjector) slowStore() {
	b.fleet.weights.slow(b.fleet.now, slowPart)
	b.fleet.after(slowTime, func() { b.fleet.weights.slow(b.fleet.now, 1) })
	b.fleet.after(slowInterval, b.slowStore)
}
