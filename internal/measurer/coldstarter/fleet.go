package coldstarter

import (
	"container/heap"
	"context"
	"fmt"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// warmUp is the initial simulated time that is excluded from the figures.
const warmUp = 30 * time.Minute

// epoch is the start of simulated time.
var epoch = time.Unix(1_800_000_000, 0)

// fleet is one simulation: a site's engines, placers and weight store in virtual time.
type fleet struct {
	site    Site
	variant Variant
	// now is the virtual time.
	now    time.Time
	events events
	// serial is the serial number of the last scheduled event.
	serial      int
	weightStore *weightStore
	domains     []*domain
	// bytes holds the sizes of the checkpoints, by name.
	bytes  map[string]int64
	result Result
	// measuredFrom is the end of the warm-up.
	measuredFrom time.Time
	// history is the encoded recurrence that each domain has learned on previous
	// days, for variants that prewarm.
	history [][]byte
}

// simulate runs a variant on a site with the given requests.
func simulate(ctx context.Context, site Site, variant Variant, requests []arrival) Result {
	f := newFleet(site, variant)
	if variant.Faults {
		newFaultInjector(f).plan(ctx)
	}
	f.run(ctx, requests)
	for _, d := range f.domains {
		d.addRemainingIdleTime()
	}
	f.result.Requests = len(f.result.Waits)
	f.result.Peak = f.weightStore.peak
	f.result.Limited = f.weightStore.refused
	return f.result
}

func newFleet(site Site, variant Variant) *fleet {
	f := &fleet{
		site:         site,
		variant:      variant,
		now:          epoch,
		bytes:        map[string]int64{},
		measuredFrom: epoch.Add(warmUp),
		weightStore: &weightStore{
			now:         epoch,
			speedFactor: 1,
		},
	}
	for i := range site.Models {
		f.bytes[modelName(i)] = site.bytesOf(i)
	}
	if variant.Prewarm {
		f.history = site.history()
	}
	for index, name := range domainNames {
		f.domains = append(f.domains, newDomain(f, index, name))
	}
	return f
}

// afterFunc schedules an action to run after a delay in virtual time.
func (f *fleet) afterFunc(delay time.Duration, action func()) {
	f.serial++
	heap.Push(&f.events, event{
		at:     f.now.Add(delay),
		serial: f.serial,
		action: action,
	})
}

// run processes requests, scheduled events and completed loads in order of time,
// until all requests have arrived and none waits.
func (f *fleet) run(ctx context.Context, requests []arrival) {
	for _, d := range f.domains {
		d.schedule(ctx, time.Millisecond)
		for _, e := range d.engines {
			e.onChange = func() { d.requestStep(ctx) }
		}
	}
	for ctx.Err() == nil {
		// next is what happens first: 0 for a scheduled event, 1 for a request, 2 for a completed load.
		next := 0
		at := f.events[0].at
		if len(requests) == 0 {
			if f.settled() {
				return
			}
		} else if arrivesAt := epoch.Add(requests[0].at); arrivesAt.Before(at) {
			next, at = 1, arrivesAt
		}
		if completesAt, ok := f.weightStore.nextCompletion(); ok && !completesAt.After(at) {
			next, at = 2, completesAt
		}
		f.now = at
		switch next {
		case 0:
			due := heap.Pop(&f.events).(event)
			due.action()
		case 1:
			f.domains[requests[0].domain].arrive(ctx, requests[0].model)
			requests = requests[1:]
		case 2:
			f.weightStore.advance(at)
		}
	}
}

// recordWait records the time that a request waited for a copy, unless it arrived during the warm-up.
func (f *fleet) recordWait(arrived time.Time, wait time.Duration) {
	if !arrived.Before(f.measuredFrom) {
		f.result.Waits = append(f.result.Waits, wait)
	}
}

// settled reports whether no request is waiting.
func (f *fleet) settled() bool {
	for _, d := range f.domains {
		if len(d.waiting) > 0 {
			return false
		}
	}
	return true
}

// newEngines returns a domain's share of the site's engines, each with about one
// in eleven checkpoints in its disk cache.
func (f *fleet) newEngines(index int, name string) []*engine {
	var engines []*engine
	for i := index; i < f.site.Engines; i += len(domainNames) {
		e := &engine{
			fleet:     f,
			name:      fmt.Sprintf("%s-%02d", name, i),
			idleSince: map[string]time.Time{},
		}
		for model := range f.site.Models {
			if (model*7+i*3)%11 == 0 {
				e.addToDiskCache(modelName(model))
			}
		}
		e.published = reporter.Report{}
		e.publish(f.now)
		engines = append(engines, e)
	}
	return engines
}
