package coldstarter

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/orderer"
	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/placer"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	// waitingInterval is the time between decisions while requests wait but
	// nothing changes.
	waitingInterval = time.Second
	// idleInterval is the time between decisions while nothing waits or changes.
	idleInterval = 5 * time.Second
	// requestTimeout is the time from a request's arrival to its deadline.
	requestTimeout = 10 * time.Minute
	// orderExpiry is the time for which an order is valid.
	orderExpiry = 500 * time.Millisecond
)

// domain is a simulated failure domain with its placers and engines.
type domain struct {
	fleet   *fleet
	name    string
	engines []*engine
	placers []*placer.Placer
	// listed is the platform's list of the domain's engines.
	listed []storer.Instance
	// waiting holds the arrival times of the requests that wait for a copy, by model.
	waiting map[string][]time.Time
	// remote holds whether the last load of a checkpoint read from the weight store.
	remote map[string]bool
	// nextPlacer counts the requests; each goes to the next placer in turn.
	nextPlacer int
	// busyUntil is the time until which steps follow each report.
	busyUntil time.Time
	// nextStep is the time of the scheduled step.
	nextStep time.Time
	mutex    sync.Mutex
	// store is shared by all placers of the fleet if demand is merged.
	store *memoryStore
}

func newDomain(f *fleet, index int, name string) *domain {
	d := &domain{
		fleet:   f,
		name:    name,
		engines: f.newEngines(index, name),
		waiting: map[string][]time.Time{},
		remote:  map[string]bool{},
	}
	d.refreshList()
	shared := &memoryStore{
		entries: map[string]storer.Entry{},
	}
	if index > 0 && f.variant.Instances == 1 {
		shared = f.domains[0].store
	}
	d.store = shared
	if f.variant.Prewarm {
		shared.put("recurrence/"+name+"/"+placer.Duties(1)[0], f.history[index])
	}
	for i := range f.variant.Instances {
		d.placers = append(d.placers, d.newPlacer(fmt.Sprintf("%s-%d", name, i)))
	}
	return d
}

// refreshList sets the platform's list to the engines that run.
func (d *domain) refreshList() {
	d.listed = nil
	for _, e := range d.engines {
		if e.crashed {
			continue
		}
		d.listed = append(d.listed, storer.Instance{
			Name:   e.name,
			Domain: d.name,
			Role:   storer.RoleEngine,
		})
	}
}

// newPlacer returns a placer that holds its domain's placement duty permanently.
func (d *domain) newPlacer(name string) *placer.Placer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	catalog := d.fleet.site.catalog()
	store := d.store
	if d.fleet.variant.Instances > 1 {
		store = &memoryStore{
			entries: map[string]storer.Entry{},
		}
	}
	return placer.New(placer.Config{
		Self: messenger.Sender{
			Name:        name,
			Domain:      d.name,
			Incarnation: 1,
		},
		Domain:  d.name,
		Domains: domainNames,
		Term: func(string) (placer.Term, bool) {
			return placer.Term{
				Epoch: 1,
				Check: func() error { return nil },
			}, true
		},
		Owner: func(string) (messenger.Peer, uint64, bool) {
			return messenger.Peer{
				Name: name,
			}, 1, true
		},
		Store:   store.store(),
		Catalog: func() placer.Catalog { return catalog },
		Engines: func() []storer.Instance { return d.listed },
		Report:  d.report,
		Order:   d.order,
		Planner: d.fleet.variant.planner(),
		Now:     func() time.Time { return d.fleet.now },
		Log:     log,
		Settings: parser.Loading{
			Loads:    weightRate,
			Slots:    weightSlots,
			Adapters: 30,
			Idle: parser.Duration{
				Duration: d.fleet.variant.Idle,
			},
			Expiry: parser.Duration{
				Duration: orderExpiry,
			},
			Policy:  d.fleet.variant.Policy,
			Prewarm: d.fleet.variant.Prewarm,
		},
	})
}

// engine returns the engine of that name, which must exist.
func (d *domain) engine(name string) *engine {
	return d.engines[slices.IndexFunc(d.engines, func(e *engine) bool { return e.name == name })]
}

// report returns the last published report of an engine.
func (d *domain) report(name string) (reporter.Report, time.Time, bool) {
	return d.engine(name).published, d.fleet.now, true
}

// order executes an order immediately. Placers send one order at a time, since
// each step waits for the answers; the lock is for the race detector.
func (d *domain) order(ctx context.Context, to storer.Instance, order orderer.Order) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.requestStep(ctx)
	target := d.engine(to.Name)
	if order.Kind == orderer.Load {
		d.remote[order.Checkpoint] = !slices.Contains(target.disk, order.Checkpoint)
	}
	return target.execute(order)
}

// arrive handles a request for a model: it runs on a ready copy or waits for
// one. The placers take turns in receiving the demand.
func (d *domain) arrive(ctx context.Context, model int) {
	name := modelName(model)
	p := d.placers[d.nextPlacer%len(d.placers)]
	d.nextPlacer++
	p.AddDemand(placer.Demand{
		Model:    name,
		Class:    placer.ClassInteractive,
		Tokens:   requestTokens,
		Deadline: d.fleet.now.Add(requestTimeout),
		Team:     fmt.Sprintf("team%d", model%teamCount),
	})
	if d.startRequest(name) {
		d.fleet.recordWait(d.fleet.now, 0)
		return
	}
	d.waiting[name] = append(d.waiting[name], d.fleet.now)
	p.Step(ctx)
	d.requestStep(ctx)
}

// startRequest runs a request on a copy that is ready and that its engine has
// reported as ready. It reports whether there is one.
func (d *domain) startRequest(name string) bool {
	for _, e := range d.engines {
		index := e.find(name)
		if index < 0 || e.copies[index].State != reporter.CopyReady {
			continue
		}
		if slices.ContainsFunc(e.published.Copies, func(c reporter.Copy) bool {
			return c.Checkpoint == name && c.State == reporter.CopyReady
		}) {
			e.run(name)
			return true
		}
	}
	return false
}

// step publishes the engines' reports, starts waiting requests, lets the placers
// decide and schedules the next step.
func (d *domain) step(ctx context.Context) {
	for _, e := range d.engines {
		e.publish(d.fleet.now)
	}
	for name, arrivals := range d.waiting {
		if d.startRequest(name) {
			d.recordServed(name, arrivals)
		}
	}
	for _, p := range d.placers {
		p.Step(ctx)
	}
	switch {
	case d.fleet.now.Before(d.busyUntil):
		d.schedule(ctx, reportInterval)
	case len(d.waiting) > 0:
		d.schedule(ctx, waitingInterval)
	default:
		d.schedule(ctx, idleInterval)
	}
}

// schedule schedules the next step after the given time, unless one is due earlier.
func (d *domain) schedule(ctx context.Context, wait time.Duration) {
	at := d.fleet.now.Add(wait)
	if d.nextStep.After(d.fleet.now) && !at.Before(d.nextStep) {
		return
	}
	d.nextStep = at
	d.fleet.afterFunc(wait, func() {
		if d.nextStep.Equal(at) {
			d.step(ctx)
		}
	})
}

// requestStep schedules a step for the next report after a change, and makes steps
// follow each report for the next second.
func (d *domain) requestStep(ctx context.Context) {
	d.busyUntil = d.fleet.now.Add(time.Second)
	d.schedule(ctx, reportInterval)
}

// recordServed records a cold start and the waits of its requests, and runs the
// requests after the first, which already runs.
func (d *domain) recordServed(name string, arrivals []time.Time) {
	now := d.fleet.now
	if !arrivals[0].Before(d.fleet.measuredFrom) {
		d.fleet.result.Wakes = append(d.fleet.result.Wakes, Wake{
			At:     arrivals[0],
			Took:   now.Sub(arrivals[0]),
			Bytes:  d.fleet.bytes[name],
			Remote: d.remote[name],
		})
	}
	for _, at := range arrivals {
		d.fleet.recordWait(at, now.Sub(at))
	}
	for range arrivals[1:] {
		d.startRequest(name)
	}
	delete(d.waiting, name)
}

// addRemainingIdleTime adds the idle time of the copies that are ready at the end of the simulation.
func (d *domain) addRemainingIdleTime() {
	for _, e := range d.engines {
		for i := range e.copies {
			if e.copies[i].State == reporter.CopyReady {
				e.addIdleTime(e.copies[i].Checkpoint)
			}
		}
	}
}
