package quarantiner

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/emulator/network"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

const (
	// testDelay is the time that a message takes one way.
	testDelay = 2 * time.Millisecond
	// testHeartbeat is the time between the heartbeats of an instance, which go to testNeighbours others.
	testHeartbeat  = 500 * time.Millisecond
	testNeighbours = 4
	// testDowntime is how long a crashed engine is down.
	testDowntime = 3 * time.Second
	// deadly is the name of the part under which engines crash.
	deadly = 666
)

// testNode is one instance.
type testNode struct {
	*Quarantiner
	node *network.Node
	stop context.CancelFunc
}

// testEngine is an engine that crashes as it begins to answer a prompt with the deadly part.
type testEngine struct {
	name    string
	downTil time.Time
	// running are the prompts under way.
	running map[*testPrompt]bool
}

// testPrompt is a prompt under way.
type testPrompt struct {
	node  *testNode
	parts []uint64
	broke chan struct{}
}

// testSite is a number of instances before engines.
type testSite struct {
	ctx     context.Context
	network *network.Network
	group   sync.WaitGroup

	mu      sync.Mutex
	nodes   []*testNode
	random  *rand.Rand
	engines []*testEngine
	// cut holds the instances that no message reaches or leaves.
	cut map[string]bool
	// crashes are the times of crashes, deadlyAt those at which deadly prompts reached engines.
	crashes  []time.Time
	deadlyAt []time.Time
	// repeatsAt are the times at which a request that comes again reached engines.
	repeatsAt []time.Time
	// sent and refused count sound prompts.
	sent, refused int
	bytes         int
}

func newTestSite(ctx context.Context, instances, engines int, seed uint64) *testSite {
	s := &testSite{
		ctx:    ctx,
		random: rand.New(rand.NewPCG(seed, 1)),
		cut:    map[string]bool{},
	}
	s.network = network.New(network.Config{
		Delay: func(string, string) time.Duration { return testDelay },
		Lose: func(from, to, _ string) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.cut[from] != s.cut[to] || s.cut[from] && from != to
		},
		Count: func(_, _, _ string, bytes int) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.bytes += bytes
		},
	})
	for number := range engines {
		s.engines = append(s.engines, &testEngine{
			name:    fmt.Sprintf("e%d", number),
			running: map[*testPrompt]bool{},
		})
	}
	s.nodes = make([]*testNode, instances)
	for number := range instances {
		s.start(ctx, number)
	}
	return s
}

// start starts an instance that knows nothing, in place of the former one with its number.
func (s *testSite) start(ctx context.Context, number int) {
	if former := s.instance(number); former != nil {
		former.stop()
	}
	ctx, stop := context.WithCancel(ctx)
	name := fmt.Sprintf("i%d", number)
	n := &testNode{
		stop: stop,
		node: &network.Node{
			Self: messenger.Sender{Name: name},
			Peer: messenger.Peer{
				Name:    name,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 7000),
			},
			Gate: &network.Gate{},
		},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	n.Quarantiner = New(Config{
		Peers: func() []messenger.Peer { return s.peers(number) },
		Call:  s.network.Caller(n.node),
		Down: func(_ context.Context, address netip.AddrPort) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return time.Now().Before(s.engines[address.Port()].downTil)
		},
		Log: log,
	})
	n.node.Handlers = n.Handlers()
	n.node.Handlers["heartbeat"] = func(_ context.Context, _ messenger.Sender, payload []byte) ([]byte, error) {
		n.HandleAttachment(messenger.Peer{}, payload)
		return n.Attachment(), nil
	}
	s.network.Join(n.node)
	s.mu.Lock()
	s.nodes[number] = n
	s.mu.Unlock()
	s.group.Go(func() { n.Run(ctx) })
	s.group.Go(func() { s.beat(ctx, number, n) })
}

// instance returns the instance with a number; nil if there is none yet.
func (s *testSite) instance(number int) *testNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[number]
}

func (s *testSite) peers(self int) []messenger.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []messenger.Peer
	for number, n := range s.nodes {
		if number != self && n != nil {
			peers = append(peers, n.node.Peer)
		}
	}
	return peers
}

// beat sends heartbeats to random instances.
func (s *testSite) beat(ctx context.Context, number int, n *testNode) {
	for ctx.Err() == nil {
		peers := s.peers(number)
		for range min(testNeighbours, len(peers)) {
			s.mu.Lock()
			peer := peers[s.random.IntN(len(peers))]
			s.mu.Unlock()
			callCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			answer, err := s.network.Caller(n.node)(callCtx, peer, "heartbeat", n.Attachment())
			cancel()
			if err == nil {
				n.HandleAttachment(peer, answer)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(testHeartbeat):
		}
	}
}

// send sends a prompt to a random engine that is up. It returns once the answer is complete or broke off.
func (s *testSite) send(number int, parts []uint64) {
	n := s.instance(number)
	isDeadly := false
	for _, part := range parts {
		isDeadly = isDeadly || part == deadly
	}
	n.Await(s.ctx)
	if _, held := n.Quarantined(Request{Parts: parts}); held {
		s.count(isDeadly, true)
		return
	}
	p := &testPrompt{
		node:  n,
		parts: parts,
		broke: make(chan struct{}),
	}
	index := s.admit(p)
	if index < 0 {
		return
	}
	s.count(isDeadly, false)
	address := engineAddress(index)
	e := s.engines[index]
	if !s.wait(p, time.Duration(50+s.intN(400))*time.Millisecond) { // until the answer begins
		n.Broke(e.name, address, Attempt{Request: Request{Parts: parts}})
		return
	}
	if isDeadly {
		s.crash(e)
		n.Broke(e.name, address, Attempt{Request: Request{Parts: parts}})
		return
	}
	began := time.Now()
	if s.wait(p, 200*time.Millisecond) {
		n.Survived(parts, began)
	}
	s.mu.Lock()
	delete(e.running, p)
	s.mu.Unlock()
}

// repeat sends a request that crashes engines again and again, for a span of time, to the given instances.
func (s *testSite) repeat(span, interval time.Duration, whole uint64, instances ...int) {
	var group sync.WaitGroup
	for end := time.Now().Add(span); time.Now().Before(end); {
		number := instances[s.intN(len(instances))]
		group.Go(func() { s.sendWhole(number, whole) })
		time.Sleep(interval/2 + time.Duration(s.intN(int(interval))))
	}
	group.Wait()
}

// sendWhole sends a request that crashes its engine.
func (s *testSite) sendWhole(number int, whole uint64) {
	n := s.instance(number)
	request := Request{
		Whole: whole,
	}
	n.Await(s.ctx)
	if _, held := n.Quarantined(request); held {
		return
	}
	p := &testPrompt{
		node:  n,
		broke: make(chan struct{}),
	}
	index := s.admit(p)
	if index < 0 {
		return
	}
	attempt := Attempt{
		Request: request,
		Sent:    time.Now(),
	}
	s.mu.Lock()
	s.repeatsAt = append(s.repeatsAt, time.Now())
	s.mu.Unlock()
	if s.wait(p, time.Duration(20+s.intN(500))*time.Millisecond) {
		s.crash(s.engines[index])
	}
	n.Broke(s.engines[index].name, engineAddress(index), attempt)
}

// lateRepeats returns how often the request reached engines later than the users' bound after its third crash.
func (s *testSite) lateRepeats() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) < 3 {
		return 0
	}
	late := 0
	for _, at := range s.repeatsAt {
		if at.Sub(s.crashes[2]) > 3*time.Second {
			late++
		}
	}
	return late
}

// engineAddress returns an address whose port is the engine's number.
func engineAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, 0}), uint16(number))
}

func (s *testSite) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *testSite) count(isDeadly, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case isDeadly && !refused:
		s.deadlyAt = append(s.deadlyAt, time.Now())
	case !isDeadly:
		s.sent++
		if refused {
			s.refused++
		}
	}
}

// admit places a prompt on a random engine that is up, and returns its number; negative if none is.
func (s *testSite) admit(p *testPrompt) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, index := range s.random.Perm(len(s.engines)) {
		if time.Now().After(s.engines[index].downTil) {
			s.engines[index].running[p] = true
			return index
		}
	}
	return -1
}

// wait waits, and returns false if the engine crashed meanwhile.
func (s *testSite) wait(p *testPrompt, span time.Duration) bool {
	select {
	case <-p.broke:
		return false
	case <-time.After(span):
		return true
	}
}

// crash crashes an engine with all that it runs.
func (s *testSite) crash(e *testEngine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = append(s.crashes, time.Now())
	e.downTil = time.Now().Add(testDowntime)
	for p := range e.running {
		close(p.broke)
		delete(e.running, p)
	}
}

// play sends sound and deadly prompts for a span of time, at the given intervals; zero means none. All share their first
// parts; sound ones differ in the second, which is the deadly one in the others.
func (s *testSite) play(span, soundEvery, deadlyEvery time.Duration, instances ...int) {
	var group sync.WaitGroup
	end := time.Now().Add(span)
	sendEvery := func(interval time.Duration, second func() uint64) {
		if interval == 0 {
			return
		}
		for time.Now().Before(end) {
			number := instances[s.intN(len(instances))]
			parts := []uint64{uint64(1 + s.intN(3)), second()}
			group.Go(func() { s.send(number, parts) })
			time.Sleep(interval/2 + time.Duration(s.intN(int(interval))))
		}
	}
	group.Go(func() { sendEvery(soundEvery, func() uint64 { return uint64(10 + s.intN(20)) }) })
	group.Go(func() { sendEvery(deadlyEvery, func() uint64 { return deadly }) })
	group.Wait()
}

// late returns the number of deadly prompts that reached engines later than the users' bound after the fifth crash.
func (s *testSite) late() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) < 5 {
		return 0
	}
	late := 0
	for _, at := range s.deadlyAt {
		if at.Sub(s.crashes[4]) > 3*time.Second {
			late++
		}
	}
	return late
}

// all returns the numbers of all instances.
func (s *testSite) all() []int {
	numbers := make([]int, len(s.nodes))
	for i := range numbers {
		numbers[i] = i
	}
	return numbers
}

// end stops the instances.
func (s *testSite) end() {
	for _, n := range s.nodes {
		n.stop()
	}
	s.group.Wait()
	time.Sleep(time.Second) // messages that are under way
}
