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
	// waitingInterval is the time between decisions while requests wait and
	// nothing happens.
	waitingInterval = time.Second
	// idleInterval is the time between decisions otherwise.
	idleInterval = 5 * time.Second
	// requestTimeout is the deadline of a request.
	requestTimeout = 10 * time.Minute
	// orderExpiry is how long an order stays valid.
	orderExpiry = 500 * time.Millisecond
)

// domain is a failure domain with its placers and engines.
type domain struct {
	fleet   *fleet
	name    string
	engines []*engine
	placers []*placer.Placer
	list    []storer.Instance
	waiting map[string][]time.Time
	remote  map[string]bool
	turn    int
	busy    time.Time
	next    time.Time
	mutex   sync.Mutex
	// placersStore is shared by all placers of the fleet if demand is merged.
	placersStore *memoryStore
}

func newDomain(f *fleet, index int, name string) *domain {
	d := &domain{
		fleet:   f,
		name:    name,
		engines: f.newEngines(index, name),
		waiting: map[string][]time.Time{},
		remote:  map[string]bool{},
	}
	d.enlist()
	shared := &memoryStore{
		entries: map[string]storer.Entry{},
	}
	if index > 0 && f.variant.Instances == 1 {
		shared = f.domains[0].placersStore
	}
	d.placersStore = shared
	if f.variant.Prewarm {
		shared.put("recurrence/"+name+"/"+placer.Duties(1)[0], f.history[index])
	}
	for i := range f.variant.Instances {
		d.placers = append(d.placers, d.newPlacer(fmt.Sprintf("%s-%d", name, i)))
	}
	return d
}

// enlist makes the platform's list of the engines that run.
func (d *domain) enlist() {
	d.list = nil
	for _, one := range d.engines {
		if one.dead {
			continue
		}
		d.list = append(d.list, storer.Instance{
			Name:   one.name,
			Domain: d.name,
			Role:   storer.RoleEngine,
		})
	}
}

// newPlacer makes a placer that holds its domain's duty for ever.
func (d *domain) newPlacer(name string) *placer.Placer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	catalog := d.fleet.site.catalog()
	store := d.placersStore
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
		Engines: func() []storer.Instance { return d.list },
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

func (d *domain) engine(name string) *engine {
	return d.engines[slices.IndexFunc(d.engines, func(e *engine) bool { return e.name == name })]
}

func (d *domain) report(name string) (reporter.Report, time.Time, bool) {
	return d.engine(name).published, d.fleet.now, true
}

// order carries out an order at once. Placers send one at a time, because
// each step waits for its answers; the lock is for the race detector.
func (d *domain) order(ctx context.Context, to storer.Instance, order orderer.Order) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.changed(ctx)
	one := d.engine(to.Name)
	if order.Kind == orderer.Load {
		d.remote[order.Checkpoint] = !slices.Contains(one.disk, order.Checkpoint)
	}
	return one.take(order)
}

// arrive handles a request: it runs, or waits for a copy.
func (d *domain) arrive(ctx context.Context, model int) {
	name := modelName(model)
	deciding := d.placers[d.turn%len(d.placers)]
	d.turn++
	deciding.AddDemand(placer.Demand{
		Model:    name,
		Class:    placer.ClassInteractive,
		Tokens:   requestTokens,
		Deadline: d.fleet.now.Add(requestTimeout),
		Team:     fmt.Sprintf("team%d", model%teamCount),
	})
	if d.start(name) {
		d.fleet.wait(d.fleet.now, 0)
		return
	}
	d.waiting[name] = append(d.waiting[name], d.fleet.now)
	deciding.Step(ctx)
	d.changed(ctx)
}

// start runs a request on a copy that is ready by its engine's report.
func (d *domain) start(name string) bool {
	for _, one := range d.engines {
		at := one.find(name)
		if at < 0 || one.copies[at].State != reporter.CopyReady {
			continue
		}
		if slices.ContainsFunc(one.published.Copies, func(c reporter.Copy) bool {
			return c.Checkpoint == name && c.State == reporter.CopyReady
		}) {
			one.run(name)
			return true
		}
	}
	return false
}

// step publishes reports, starts the requests that waited, and decides.
func (d *domain) step(ctx context.Context) {
	for _, one := range d.engines {
		one.publish(d.fleet.now)
	}
	for name, since := range d.waiting {
		if d.start(name) {
			d.served(name, since)
		}
	}
	for _, one := range d.placers {
		one.Step(ctx)
	}
	switch {
	case d.fleet.now.Before(d.busy):
		d.schedule(ctx, reportInterval)
	case len(d.waiting) > 0:
		d.schedule(ctx, waitingInterval)
	default:
		d.schedule(ctx, idleInterval)
	}
}

// schedule decides again after a time, unless a decision is due before.
func (d *domain) schedule(ctx context.Context, wait time.Duration) {
	at := d.fleet.now.Add(wait)
	if d.next.After(d.fleet.now) && !at.Before(d.next) {
		return
	}
	d.next = at
	d.fleet.after(wait, func() {
		if d.next.Equal(at) {
			d.step(ctx)
		}
	})
}

// changed has the domain decide with the next report.
func (d *domain) changed(ctx context.Context) {
	d.busy = d.fleet.now.Add(time.Second)
	d.schedule(ctx, reportInterval)
}

// served notes a cold start and the waits of its requests.
func (d *domain) served(name string, since []time.Time) {
	now := d.fleet.now
	if !since[0].Before(d.fleet.counted) {
		d.fleet.result.Wakes = append(d.fleet.result.Wakes, Wake{
			At:     since[0],
			Took:   now.Sub(since[0]),
			Bytes:  d.fleet.bytes[name],
			Remote: d.remote[name],
		})
	}
	for _, at := range since {
		d.fleet.wait(at, now.Sub(at))
	}
	for range since[1:] {
		d.start(name)
	}
	delete(d.waiting, name)
}

// finish accounts for the copies that are idle at the end.
func (d *domain) finish() {
	for _, one := range d.engines {
		for i := range one.copies {
			if one.copies[i].State == reporter.CopyReady {
				one.account(one.copies[i].Checkpoint)
			}
		}
	}
}
