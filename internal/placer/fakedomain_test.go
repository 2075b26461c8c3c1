package placer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/orderer"
	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// newFakeDomain starts the engines and instances of a domain. Only the first engine checks
// fencing numbers.
func newFakeDomain(sim *simulation, name string) *fakeDomain {
	d := &fakeDomain{
		sim:  sim,
		name: name,
	}
	shared := &sync.Mutex{}
	for i := range 3 {
		engine := newFakeEngine(sim, fmt.Sprintf("%s-e%d", name, i), name, 30, i == 0, shared)
		d.engines = append(d.engines, engine)
		go engine.run()
	}
	for i := range instancesPerDomain {
		d.instances = append(d.instances, &fakeInstance{
			domain: d,
			name:   fmt.Sprintf("%s-i%d", name, i),
		})
	}
	for _, instance := range d.instances {
		instance.start()
	}
	go d.run()
	return d
}

// run renews the holder's lease, and assigns the duty to another instance once it expires.
func (d *fakeDomain) run() {
	for d.sim.ctx.Err() == nil {
		d.elect()
		time.Sleep(100 * time.Millisecond)
	}
}

// elect renews the lease of a running holder, or assigns the duty to another running
// instance after the lease has expired. The store must be reachable for a new assignment.
func (d *fakeDomain) elect() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	if d.holder != nil && d.holder.running() && now.Before(d.deadline) {
		d.deadline = now.Add(leaseTime)
		return
	}
	if now.Before(d.deadline) || !d.sim.store.reachable() {
		return
	}
	for _, instance := range d.instances {
		if instance.running() && instance != d.holder {
			d.holder = instance
			d.epoch++
			d.deadline = now.Add(leaseTime)
			return
		}
	}
	d.holder = nil
}

// term returns an instance's term of the duty, if it has one. Its check passes until
// staleTermTime after the lease has expired, because a former holder may notice the end of its
// term late.
func (d *fakeDomain) term(instance *fakeInstance) (Term, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.holder != instance || !time.Now().Before(d.deadline) {
		return Term{}, false
	}
	epoch := d.epoch
	until := &d.deadline
	return Term{
		Epoch: epoch,
		Check: func() error {
			instance.waitWhileFrozen()
			d.mutex.Lock()
			defer d.mutex.Unlock()
			if d.epoch == epoch && time.Now().Before(until.Add(staleTermTime)) {
				return nil
			}
			return errors.New("term has ended")
		},
	}, true
}

// owner returns the holder of the duty and its epoch.
func (d *fakeDomain) owner() (messenger.Peer, uint64, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.holder == nil {
		return messenger.Peer{}, 0, false
	}
	return messenger.Peer{
		Name: d.holder.name,
	}, d.epoch, true
}

// engineList returns the engines as the platform lists them.
func (d *fakeDomain) engineList() []storer.Instance {
	var list []storer.Instance
	for _, engine := range d.engines {
		list = append(list, storer.Instance{
			Name:    engine.name,
			Domain:  d.name,
			Role:    storer.RoleEngine,
			Leaving: engine.isLeaving(),
		})
	}
	return list
}

func (d *fakeDomain) engine(name string) *fakeEngine {
	index := slices.IndexFunc(d.engines, func(e *fakeEngine) bool { return e.name == name })
	return d.engines[index]
}

// running reports whether the instance is neither dead nor frozen.
func (i *fakeInstance) running() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.placer != nil && !time.Now().Before(i.frozenUntil)
}

// waitWhileFrozen blocks while the instance is frozen.
func (i *fakeInstance) waitWhileFrozen() {
	for {
		i.mutex.Lock()
		remaining := time.Until(i.frozenUntil)
		i.mutex.Unlock()
		if remaining <= 0 {
			return
		}
		time.Sleep(remaining)
	}
}

// freeze suspends the instance's calls for a while, as a long pause of its process does.
func (i *fakeInstance) freeze(duration time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.frozenUntil = time.Now().Add(duration)
}

// start starts a new incarnation.
func (i *fakeInstance) start() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.incarnation++
	ctx, cancel := context.WithCancel(i.domain.sim.ctx)
	i.cancel = cancel
	i.placer = New(i.config())
	for _, g := range i.placer.groups {
		g.disabled = i.domain.sim.disabled
	}
	i.handlers = i.placer.Handlers()
	go i.placer.Run(ctx)
}

// kill stops the instance.
func (i *fakeInstance) kill() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.placer != nil {
		i.cancel()
		i.placer = nil
	}
}

// addDemand adds demand at the instance and reports whether it is alive.
func (i *fakeInstance) addDemand(demand Demand) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.placer == nil {
		return false
	}
	i.placer.AddDemand(demand)
	return true
}

// config returns the configuration of the instance's placer.
func (i *fakeInstance) config() Config {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := i.domain
	return Config{
		Self: messenger.Sender{
			Name:        i.name,
			Domain:      d.name,
			Incarnation: i.incarnation,
		},
		Domain:  d.name,
		Domains: []string{"d0", "d1", "d2"},
		Term:    func(string) (Term, bool) { return d.term(i) },
		Owner:   func(string) (messenger.Peer, uint64, bool) { return d.owner() },
		Call:    d.call(i, i.incarnation),
		Store:   d.sim.store.bind(i.waitWhileFrozen),
		Catalog: d.sim.catalog,
		Engines: d.engineList,
		Report: func(name string) (reporter.Report, time.Time, bool) {
			return d.engine(name).report()
		},
		Order: func(ctx context.Context, engine storer.Instance, order orderer.Order) error {
			i.waitWhileFrozen()
			return d.sim.send(ctx, d.engine(engine.Name), order)
		},
		Planner: d.sim.planner,
		Log:     log,
		Settings: parser.Loading{
			Loads:    rateLimit,
			Slots:    slotLimit,
			Adapters: 30,
			Idle: parser.Duration{
				Duration: 8 * time.Second,
			},
			Expiry: parser.Duration{
				Duration: time.Second,
			},
			Policy: parser.EvictCost,
		},
	}
}

// call returns a function that sends messages from an incarnation to other instances.
func (d *fakeDomain) call(from *fakeInstance, incarnation uint64) messenger.Caller {
	return func(ctx context.Context, to messenger.Peer, topic string, payload []byte) ([]byte, error) {
		from.waitWhileFrozen()
		time.Sleep(time.Millisecond)
		for _, instance := range d.instances {
			if instance.name != to.Name {
				continue
			}
			instance.mutex.Lock()
			handler := instance.handlers[topic]
			alive := instance.placer != nil
			current := instance.incarnation
			instance.mutex.Unlock()
			instance.waitWhileFrozen()
			if alive && instance.runningIncarnation() == current {
				return handler(ctx, messenger.Sender{
					Name:        from.name,
					Domain:      d.name,
					Incarnation: incarnation,
				}, payload)
			}
		}
		return nil, errors.New("peer is not running")
	}
}
