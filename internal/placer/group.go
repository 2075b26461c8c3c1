package placer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/orderer"
	"github.com/buckthorngap/buckthorngap/internal/placer/placerpb"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

const (
	// tickInterval is the time between decisions when no new demand arrives.
	tickInterval = 200 * time.Millisecond
	// clockSkew bounds the difference between the clocks of two instances.
	clockSkew = 250 * time.Millisecond
)

// group holds the state of one placement duty. Its engines are those whose names hash to
// its index.
type group struct {
	config      *Config
	index       int
	duty        string
	collector   *collector
	ledgerStore *ledgerStore
	slots       *slots
	recurrences *recurrenceStore
	wakeup      chan struct{}
	disabled    disabledProtections

	// The fields below are written by the goroutine of run, under the mutex.
	mutex sync.Mutex
	epoch uint64
	// claimedAt is when this instance became the holder.
	claimedAt time.Time
	// quarantine is the time that an engine's report must be newer than before the engine
	// gets copies: orders of earlier holders can take effect until then.
	quarantine time.Time
	ledger     *Ledger
	// unsaved is set while ledger is newer than the stored one.
	unsaved bool
	// savedLedger is the ledger that was last written in this term. Its allowances may be
	// used while the store is unreachable.
	savedLedger *Ledger
	// allowancesDue is when the allowances are computed again.
	allowancesDue time.Time
	// orderCount is the number of orders that were created, for their IDs.
	orderCount uint64
	teamCosts  *teamCosts
	// slotShortage is the number of loads that only lacked a slot in the last plan.
	slotShortage int
	// reports are the newest reports seen, by engine.
	reports    map[string]reporter.Report
	gaps       map[string]*GapHistogram
	commonGaps *GapHistogram

	// The fields below are written by deliveries too.
	pacer         loadPacer
	adapterOrders []*pendingAdapterOrder

	deliveries sync.WaitGroup
}

// pendingAdapterOrder is an adapter order that may still take effect.
type pendingAdapterOrder struct {
	AdapterOrder
	expiry   time.Time
	answered bool
}

// newGroup returns the group with an index. It is idle until run is called.
func newGroup(config *Config, index int) *group {
	name := dutyName(index)
	return &group{
		config:      config,
		index:       index,
		duty:        name,
		collector:   newCollector(),
		ledgerStore: newLedgerStore(config, "intent/"+config.Domain+"/"+name),
		slots:       newSlots(config, name),
		recurrences: newRecurrenceStore(config, name),
		wakeup:      make(chan struct{}, 1),
		teamCosts:   newTeamCosts(),
		reports:     map[string]reporter.Report{},
		gaps:        map[string]*GapHistogram{},
		commonGaps:  &GapHistogram{},
	}
}

// topic returns the message topic on which the group receives demand.
func (g *group) topic() string { return "placer/" + g.duty }

// run makes decisions every tickInterval and on wakeups until the context ends.
func (g *group) run(ctx context.Context, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wakeup:
		case <-ticker.C:
		}
		g.tick(ctx)
	}
}

// handle stores the demand that another instance sent, and answers whether this instance
// holds the duty.
func (g *group) handle(_ context.Context, from messenger.Sender, payload []byte) ([]byte, error) {
	var message placerpb.Wants
	if err := proto.Unmarshal(payload, &message); err != nil {
		return nil, &Malformed{
			Sender: from.Name,
			Cause:  err,
		}
	}
	if from.Domain != g.config.Domain {
		return nil, &WrongDomain{
			Sender: from.Name,
			Domain: from.Domain,
		}
	}
	wants := decodeWants(&message, g.config.Now())
	accepted := g.receive(from, message.GetSequence(), message.GetWhole(), wants)
	term, _ := g.config.Term(g.duty)
	return proto.Marshal(&placerpb.Ack{
		Holder: accepted,
		Epoch:  term.Epoch,
	})
}

// receive stores an instance's demand, if this instance holds the duty, and reports whether
// it did.
func (g *group) receive(from messenger.Sender, sequence uint64, full bool, wants []Want) bool {
	if _, ok := g.config.Term(g.duty); !ok {
		return false
	}
	accepted, newWaiting := g.collector.apply(from.Name, from.Incarnation, sequence, full, wants, g.config.Now())
	if newWaiting {
		g.wake()
	}
	return accepted
}

// wake triggers a decision.
func (g *group) wake() {
	select {
	case g.wakeup <- struct{}{}:
	default:
	}
}

// tick makes one decision, if this instance holds the duty.
func (g *group) tick(ctx context.Context) {
	term, ok := g.config.Term(g.duty)
	if !ok {
		g.clearTerm()
		return
	}
	if g.ledger == nil || term.Epoch != g.epoch {
		if !g.claim(ctx, term) {
			return
		}
	}
	if !g.ledgerStore.backingOff() {
		g.recurrences.sync(ctx)
	}
	began := time.Now()
	state := g.snapshot()
	plan := g.config.Planner(state)
	decisionSeconds.Update(time.Since(began).Seconds())
	g.execute(ctx, term, state, plan)
	if g.ledger != nil {
		g.slots.balance(ctx, g.epoch, plan.SlotShortage, g.openSlots(state.Engines), g.ledger)
	}
}

// clearTerm clears the state that only the holder of the duty keeps.
func (g *group) clearTerm() {
	if g.ledger == nil {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.ledger = nil
	g.savedLedger = nil
	g.epoch = 0
	g.recurrences.reset()
	g.collector.clear()
}

// claim reads the ledger of the previous holder and writes it back under the new epoch,
// after which the previous holder's writes are rejected.
func (g *group) claim(ctx context.Context, term Term) bool {
	ledger, err := g.ledgerStore.claim(ctx, term.Epoch)
	if err != nil {
		g.config.Log.WithFields(logrus.Fields{
			"duty":  g.duty,
			"epoch": term.Epoch,
			"error": err,
		}).Debug("placer.unclaimed")
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.config.Now()
	g.epoch = term.Epoch
	g.claimedAt = now
	g.quarantine = now.Add(g.config.Settings.Expiry.Duration + connectionGrace + clockSkew)
	g.ledger = ledger
	g.savedLedger = nil
	g.allowancesDue = time.Time{}
	g.unsaved = false
	g.pacer.holdUntil(g.quarantine)
	g.adapterOrders = nil
	g.slots.reset()
	g.recurrences.reset()
	g.config.Log.WithFields(logrus.Fields{
		"duty":    g.duty,
		"epoch":   term.Epoch,
		"intents": len(ledger.Intents),
	}).Info("placer.claimed")
	return true
}

// nextOrderID returns an unused order ID.
func (g *group) nextOrderID() string {
	g.orderCount++
	return fmt.Sprintf("%s/%s/%d/%s-%d-%d", g.config.Domain, g.duty, g.epoch, g.config.Self.Name, g.config.Self.Incarnation, g.orderCount)
}

// newOrder returns an order with a new ID that is valid until expiry.
func (g *group) newOrder(kind orderer.Kind, checkpoint, adapter string, bytes int64, expiry time.Time) orderer.Order {
	return orderer.Order{
		ID:         g.nextOrderID(),
		Kind:       kind,
		Epoch:      g.epoch,
		Expiry:     expiry,
		Checkpoint: checkpoint,
		Adapter:    adapter,
		Bytes:      bytes,
	}
}
