package placer

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/orderer"
)

const (
	// leaseTime is the duration of a holder's lease.
	leaseTime = 2 * time.Second
	// modelCount is the number of models in the catalog.
	modelCount = 8
	// staleTermTime is how long a former holder's check still passes after its lease has
	// expired.
	staleTermTime = 200 * time.Millisecond
	// instancesPerDomain is the number of instances in each domain.
	instancesPerDomain = 2
)

// simulation is a fleet of two domains in one process that runs in virtual time.
type simulation struct {
	ctx         context.Context
	store       *fakeStore
	weightStore *fakeWeightStore
	checker     *checker
	disabled    disabledProtections
	planner     Planner
	domains     []*fakeDomain

	mutex  sync.Mutex
	random *rand.Rand
	// faulty is set while random faults are injected.
	faulty bool
	// delay is the delay of all orders; zero means that random faults apply.
	delay time.Duration
	// extra are the orders that were recorded as extra copies.
	extra map[string]bool
	// versions are the current versions of the models that are not at v1.
	versions map[string]string
	// withdrawn are the withdrawn checkpoints and adapters.
	withdrawn map[string]bool
	// poolBytes is the size of the adapter pool beside each copy.
	poolBytes int64
	// served is the number of served requests.
	served int
}

// fakeDomain has instances, engines and one placement duty.
type fakeDomain struct {
	sim       *simulation
	name      string
	engines   []*fakeEngine
	instances []*fakeInstance

	mutex  sync.Mutex
	epoch  uint64
	holder *fakeInstance
	// deadline is when the holder's lease expires.
	deadline time.Time
}

// fakeInstance runs a Placer and can be frozen or killed.
type fakeInstance struct {
	domain *fakeDomain
	name   string

	mutex       sync.Mutex
	incarnation uint64
	placer      *Placer
	handlers    map[string]messenger.Handler
	cancel      context.CancelFunc
	// frozenUntil is when the instance resumes after it was suspended.
	frozenUntil time.Time
}

// newSimulation starts a simulation with the default planner.
func newSimulation(ctx context.Context, seed uint64, disabled disabledProtections) *simulation {
	return newSimulationWithPlanner(ctx, seed, disabled, Decide)
}

// newSimulationWithPlanner starts a simulation whose placers use a given planner.
func newSimulationWithPlanner(ctx context.Context, seed uint64, disabled disabledProtections, planner Planner) *simulation {
	sim := &simulation{
		planner:   planner,
		ctx:       ctx,
		store:     newFakeStore(),
		checker:   newChecker(),
		disabled:  disabled,
		random:    rand.New(rand.NewPCG(seed, 1)),
		faulty:    true,
		extra:     map[string]bool{},
		versions:  map[string]string{},
		withdrawn: map[string]bool{},
	}
	sim.weightStore = &fakeWeightStore{
		checker:  sim.checker,
		slowdown: 1,
	}
	sim.store.onWrite = sim.recordExtra
	for i := range 2 {
		sim.domains = append(sim.domains, newFakeDomain(sim, fmt.Sprintf("d%d", i)))
	}
	return sim
}

// enableAdapters gives each copy an adapter pool.
func (sim *simulation) enableAdapters() {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	sim.poolBytes = poolBytes
}

// chance reports whether a random fault with some probability happens now.
func (sim *simulation) chance(probability float64) bool {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	return sim.faulty && sim.random.Float64() < probability
}

// draw returns a random number below limit.
func (sim *simulation) draw(limit time.Duration) time.Duration {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	return time.Duration(sim.random.Int64N(int64(limit)))
}

// send delivers an order at once, late, twice or never, and may lose the answer.
func (sim *simulation) send(ctx context.Context, engine *fakeEngine, order orderer.Order) error {
	unanswered := &orderer.Unanswered{
		Order: order.ID,
		Cause: context.DeadlineExceeded,
	}
	if delay := sim.orderDelay(); delay > 0 {
		go sim.deliver(engine, order, delay)
		<-ctx.Done()
		return unanswered
	}
	if sim.chance(0.1) {
		<-ctx.Done()
		return unanswered
	}
	if sim.chance(0.2) {
		go sim.deliver(engine, order, sim.draw(3*time.Second))
		<-ctx.Done()
		return unanswered
	}
	if sim.chance(0.1) {
		go sim.deliver(engine, order, sim.draw(3*time.Second))
	}
	time.Sleep(time.Millisecond)
	err := engine.execute(order)
	if sim.chance(0.1) {
		<-ctx.Done()
		return unanswered
	}
	return err
}

func (sim *simulation) orderDelay() time.Duration {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	return sim.delay
}

func (sim *simulation) delayOrders(by time.Duration) {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	sim.delay = by
}

func (sim *simulation) deliver(engine *fakeEngine, order orderer.Order, after time.Duration) {
	time.Sleep(after)
	_ = engine.execute(order)
}

// recordExtra remembers the orders that are recorded as extra copies.
func (sim *simulation) recordExtra(key string, value []byte) {
	if !strings.HasPrefix(key, "intent/") {
		return
	}
	var ledger Ledger
	if json.Unmarshal(value, &ledger) != nil {
		return
	}
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	for _, intent := range ledger.Intents {
		if intent.Extra {
			sim.extra[intent.Order] = true
		}
	}
}

// checkInvariants checks an engine and its domain. The caller holds their mutex.
func (sim *simulation) checkInvariants(changed *fakeEngine) {
	sim.checker.memory(changed.name, changed.total, changed.copies)
	orders := map[string][]string{}
	for _, domain := range sim.domains {
		if domain.name != changed.domain {
			continue
		}
		for _, engine := range domain.engines {
			for _, loaded := range engine.copies {
				model, _, _ := strings.Cut(loaded.Checkpoint, ":")
				orders[model] = append(orders[model], loaded.Order)
			}
		}
	}
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	for model, modelOrders := range orders {
		sim.checker.replicas(model, replicasOf(model), modelOrders, sim.extra)
	}
}

// replicasOf returns the number of copies that a model may have in a domain.
func replicasOf(model string) int {
	if model == "m0" {
		return 2
	}
	return 1
}
