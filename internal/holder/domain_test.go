package holder

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/emulator/network"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
)

const (
	testDuty = "placements"
	// targetLag is how far the clock of an order's target lags behind that of its sender.
	targetLag = 500 * time.Millisecond
	// maxOrderDelay is the longest time that an order takes to reach its target.
	maxOrderDelay = 900 * time.Millisecond
)

// act is one effect of a decision, with the epoch of the term under which it was taken.
type act struct {
	epoch    uint64
	holder   string
	recorded time.Time
}

// firstViolation returns the first two consecutive acts that violate the invariant: an older epoch
// after a newer one, or one epoch used by two instances.
func firstViolation(acts []act) (before, after act, found bool) {
	for i := 1; i < len(acts); i++ {
		a, b := acts[i-1], acts[i]
		if b.epoch < a.epoch || (b.epoch == a.epoch && b.holder != a.holder) {
			return a, b, true
		}
	}
	return act{}, act{}, false
}

// testDomain simulates one failure domain with its store, in virtual time.
type testDomain struct {
	network  *network.Network
	store    *memoryStore
	disabled protections
	// founding is set while all instances start for the first time.
	founding bool
	nodes    []*node
	random   *rand.Rand
	group    sync.WaitGroup

	lock sync.Mutex
	acts []act
	// delays holds the extra delay of an instance's messages.
	delays map[string]time.Duration
	// hidden are the members that the others see as dead.
	hidden map[string]bool
	// cuts counts the cuts in force between pairs of instances, whose messages to each other are
	// dropped; an empty second name stands for all.
	cuts map[[2]string]int
}

// node is one incarnation of an instance.
type node struct {
	domain *testDomain
	index  int
	name   string
	gate   *network.Gate
	cancel context.CancelFunc
	holder *Holder

	lock        sync.Mutex
	incarnation uint64
	// clockLag is how far the monotonic clock lags because of suspensions.
	clockLag time.Duration
	frozen   time.Time
	// drift is by how much the clocks run fast, in thousandths, since driftSince.
	drift      int
	driftSince time.Time
}

// clock returns the wall clock, which runs fast or slow.
func (n *node) clock() time.Time {
	n.gate.Wait()
	now := time.Now().Round(0)
	return now.Add(now.Sub(n.driftSince) / 1000 * time.Duration(n.drift))
}

// now returns the monotonic clock, which lags behind the wall clock after suspensions.
func (n *node) now() time.Time {
	clock := n.clock()
	n.lock.Lock()
	defer n.lock.Unlock()
	return clock.Add(-n.clockLag)
}

// freeze stops the process for a time; if suspended is set, its monotonic clock stops too.
func (n *node) freeze(duration time.Duration, suspended bool) {
	n.lock.Lock()
	if !n.frozen.IsZero() || n.gate.Killed() {
		n.lock.Unlock()
		return
	}
	n.frozen = time.Now()
	n.lock.Unlock()
	n.gate.Freeze()
	time.AfterFunc(duration, func() {
		n.lock.Lock()
		n.frozen = time.Time{}
		if suspended {
			n.clockLag += duration
		}
		n.lock.Unlock()
		n.gate.Thaw()
	})
}

// stoppedFor returns for how long the process has been stopped.
func (n *node) stoppedFor() time.Duration {
	n.lock.Lock()
	defer n.lock.Unlock()
	if n.frozen.IsZero() {
		return 0
	}
	return time.Since(n.frozen)
}

func newTestDomain(size int, seed uint64, disabled protections) *testDomain {
	s := &testDomain{
		store:    newMemoryStore(),
		disabled: disabled,
		random:   rand.New(rand.NewPCG(seed, 1)),
		delays:   map[string]time.Duration{},
		hidden:   map[string]bool{},
		cuts:     map[[2]string]int{},
	}
	s.network = network.New(network.Config{
		Delay: func(from, to string) time.Duration {
			s.lock.Lock()
			defer s.lock.Unlock()
			return time.Millisecond + max(s.delays[from], s.delays[to])
		},
		Lose: func(from, to, _ string) bool {
			s.lock.Lock()
			defer s.lock.Unlock()
			return s.cuts[[2]string{from, to}]+s.cuts[[2]string{to, from}]+s.cuts[[2]string{from, ""}]+s.cuts[[2]string{to, ""}] > 0
		},
	})
	for i := range size {
		s.put(s.start(i, 1))
	}
	return s
}

// put adds an instance, replacing its previous incarnation.
func (s *testDomain) put(n *node) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if n.index < len(s.nodes) {
		s.nodes[n.index] = n
	} else {
		s.nodes = append(s.nodes, n)
	}
}

// all returns the current incarnations of all instances.
func (s *testDomain) all() []*node {
	s.lock.Lock()
	defer s.lock.Unlock()
	return slices.Clone(s.nodes)
}

// byName returns the current incarnation of the named instance, or nil.
func (s *testDomain) byName(name string) *node {
	for _, n := range s.all() {
		if n.name == name {
			return n
		}
	}
	return nil
}

// cut starts or ends the loss of messages between two instances, or between the named one and all
// others if other is empty.
func (s *testDomain) cut(name, other string, on bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if on {
		s.cuts[[2]string{name, other}]++
	} else {
		s.cuts[[2]string{name, other}]--
	}
}

// hide sets whether the other instances see the named one as dead.
func (s *testDomain) hide(name string, on bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.hidden[name] = on
}

// start runs one incarnation of an instance.
func (s *testDomain) start(index int, incarnation uint64) *node {
	name := fmt.Sprintf("a%d", index)
	n := &node{
		domain:      s,
		index:       index,
		name:        name,
		gate:        &network.Gate{},
		incarnation: incarnation,
		drift:       index*3%11 - 5,
		driftSince:  time.Now().Round(0),
	}
	networkNode := &network.Node{
		Self: messenger.Sender{
			Name:        name,
			Domain:      "a",
			Incarnation: incarnation,
		},
		Peer: messenger.Peer{
			Name:    name,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index)}), 1),
		},
		Gate: n.gate,
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	detector := tracker.NewFreezeDetector(tracker.FreezeDetectorConfig{
		Now:  n.now,
		Wall: n.clock,
	})
	n.holder = New(Config{
		Self:             networkNode.Self,
		SelfPeer:         networkNode.Peer,
		Store:            s.store.store(n),
		Members:          func() []tracker.Member { return s.members(n) },
		Call:             s.network.Caller(networkNode),
		FreezeDetector:   detector,
		Duties:           []string{testDuty},
		Founding:         s.founding,
		ActsWithinMargin: func(string) bool { return true },
		Now:              n.now,
		Log:              log,
		disabled:         s.disabled,
	})
	networkNode.Handlers = n.holder.Handlers()
	s.network.Join(networkNode)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	s.group.Go(func() { _ = detector.Run(ctx) })
	s.group.Go(func() { _ = n.holder.Run(ctx) })
	seed := s.random.Uint64()
	s.group.Go(func() { s.act(ctx, n, rand.New(rand.NewPCG(seed, 2))) })
	return n
}

// kill stops the process for good.
func (n *node) kill() {
	n.gate.Kill()
	n.cancel()
}

// members returns what the viewer's tracker would report.
func (s *testDomain) members(viewer *node) []tracker.Member {
	viewer.gate.Wait()
	var members []tracker.Member
	for _, n := range s.all() {
		if n.index == viewer.index {
			continue
		}
		state := tracker.Alive
		if silent := n.stoppedFor(); silent > 10*time.Second {
			state = tracker.Dead
		} else if silent > 2*time.Second || n.gate.Killed() {
			state = tracker.Suspect
		}
		s.lock.Lock()
		if s.hidden[n.name] {
			state = tracker.Dead
		}
		s.lock.Unlock()
		members = append(members, tracker.Member{
			Peer:        n.holder.config.SelfPeer,
			Domain:      "a",
			Incarnation: n.incarnation,
			State:       state,
		})
	}
	return members
}

// act takes decisions whenever the instance holds the duty. Half of them take effect at once. The
// others are orders that carry the term's deadline; their target, whose clock lags, rejects them
// after it.
func (s *testDomain) act(ctx context.Context, n *node, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(20+random.IntN(40)) * time.Millisecond)
		term, ok := n.holder.Term(testDuty)
		if !ok {
			continue
		}
		deadline := time.Now().Add(term.Deadline().Sub(n.now()))
		if term.Check() != nil {
			continue
		}
		if random.IntN(2) == 0 {
			s.record(n, term)
			continue
		}
		// The process may freeze between the check and the act.
		n.gate.Wait()
		s.deliver(n, term, deadline, time.Duration(random.Int64N(int64(maxOrderDelay))))
	}
}

// deliver delivers an order after a delay. It arrives even if its sender has died meanwhile.
func (s *testDomain) deliver(n *node, term Term, deadline time.Time, delay time.Duration) {
	time.Sleep(delay)
	if time.Now().Add(-targetLag).Before(deadline) {
		s.record(n, term)
	}
}

func (s *testDomain) record(n *node, term Term) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.acts = append(s.acts, act{
		epoch:    term.Epoch(),
		holder:   fmt.Sprintf("%s/%d", n.name, n.incarnation),
		recorded: time.Now(),
	})
}

// holders returns the names of the instances that may act now.
func (s *testDomain) holders() []string {
	var names []string
	for _, n := range s.all() {
		if n.gate.Killed() || n.stoppedFor() > 0 {
			continue
		}
		if term, ok := n.holder.Term(testDuty); ok && term.Check() == nil {
			names = append(names, n.name)
		}
	}
	return names
}

func (s *testDomain) stop() {
	for _, n := range s.all() {
		n.kill()
	}
	s.group.Wait()
	time.Sleep(2 * time.Minute)
}
