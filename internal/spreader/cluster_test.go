package spreader

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/binder"
	"github.com/buckthorngap/buckthorngap/internal/emulator/platformer"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// cluster runs several Spreaders in this process, with one emulated platform.
type cluster struct {
	t        *testing.T
	platform *platformer.Platform

	mutex sync.Mutex
	nodes map[string]*node
	cut   map[string]bool // "a>b" is set while messages from a do not reach b
	// frozen holds a channel for each frozen node, which thaw closes.
	frozen map[string]chan struct{}
	// record is the history of the run, for verify.
	record *recording

	// incarnation numbers the nodes in the order of their creation, so that the history distinguishes
	// restarts.
	incarnation int
	// breaking makes the store fail right after the next swap of the head.
	breaking bool
}

// node is one instance of the cluster.
type node struct {
	*Spreader
	name   string
	domain string
	cancel context.CancelFunc
	done   chan struct{}
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{
		t:        t,
		platform: platformer.New(platformer.Config{}),
		nodes:    map[string]*node{},
		cut:      map[string]bool{},
		frozen:   map[string]chan struct{}{},
		record:   &recording{},
	}
	t.Cleanup(c.stopAll)
	return c
}

// address returns a node's address, whose port contains the number in the node's name.
func address(name string) netip.AddrPort {
	var port uint16
	_, _ = fmt.Sscanf(name, "n%d", &port)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 10_000+port)
}

// discardLog returns a logger that discards everything.
func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// newNode returns a node that is not running yet.
func (c *cluster) newNode(name, domain string, edit func(*Spreader)) *node {
	store := binder.New(binder.Config{
		URL:     "http://platform",
		Client:  c.platform.Client(),
		Timeout: 200 * time.Millisecond,
	})
	n := &node{
		name:   name,
		domain: domain,
		done:   make(chan struct{}),
	}
	n.Spreader = New(Config{
		Store: store,
		Self: messenger.Sender{
			Name:        name,
			Domain:      domain,
			Incarnation: 1,
		},
		Members:     func() []tracker.Member { return c.members(name) },
		Call:        c.caller(n),
		Log:         discardLog(),
		LeafTimeout: 300 * time.Millisecond,
	})
	if edit != nil {
		edit(n.Spreader)
	}
	c.incarnation++
	nodeObserver := &observer{
		recording: c.record,
		node:      fmt.Sprintf("%s#%d", name, c.incarnation),
	}
	n.Subscribe(nodeObserver.observe)
	c.wrapStore(n)
	return n
}

// start creates a node and runs it.
func (c *cluster) start(name, domain string, edit func(*Spreader)) *node {
	n := c.newNode(name, domain, edit)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	c.mutex.Lock()
	c.nodes[name] = n
	c.mutex.Unlock()
	go n.run(ctx)
	return n
}

func (n *node) run(ctx context.Context) {
	defer close(n.done)
	_ = n.Run(ctx)
}

func (c *cluster) stop(name string) {
	c.mutex.Lock()
	n := c.nodes[name]
	delete(c.nodes, name)
	c.mutex.Unlock()
	if n != nil {
		n.cancel()
		<-n.done
	}
}

func (c *cluster) stopAll() {
	for _, n := range c.all() {
		c.stop(n.name)
	}
}

// all returns the running nodes in the order of their numbers.
func (c *cluster) all() []*node {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var nodes []*node
	for _, n := range c.nodes {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b *node) int { return int(address(a.name).Port()) - int(address(b.name).Port()) })
	return nodes
}

func (c *cluster) members(self string) []tracker.Member {
	var members []tracker.Member
	for _, n := range c.all() {
		if n.name == self {
			continue
		}
		members = append(members, tracker.Member{
			Peer: messenger.Peer{
				Name:    n.name,
				Address: address(n.name),
			},
			Domain: n.domain,
			State:  tracker.Alive,
		})
	}
	return members
}

// setCut cuts or restores the link between two nodes, in both directions.
func (c *cluster) setCut(a, b string, cut bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cut[a+">"+b] = cut
	c.cut[b+">"+a] = cut
}

// caller returns the function by which a node calls the handlers of others.
func (c *cluster) caller(from *node) messenger.Caller {
	return func(ctx context.Context, to messenger.Peer, topic string, payload []byte) ([]byte, error) {
		c.mutex.Lock()
		n := c.nodes[to.Name]
		cut := c.cut[from.name+">"+to.Name]
		c.mutex.Unlock()
		if n == nil || cut {
			return nil, fmt.Errorf("%s cannot reach %s", from.name, to.Name)
		}
		c.waitWhileFrozen(from.name)
		if !c.waitForThaw(ctx, to.Name) {
			return nil, ctx.Err()
		}
		return n.Handlers()[topic](ctx, from.config.Self, payload)
	}
}

// exchangeDigests exchanges digests between all nodes that reach each other, as heartbeats do.
func (c *cluster) exchangeDigests() {
	for _, a := range c.all() {
		for _, b := range c.all() {
			c.mutex.Lock()
			cut := c.cut[a.name+">"+b.name]
			c.mutex.Unlock()
			if a != b && !cut {
				b.Compare(messenger.Peer{
					Name:    a.name,
					Address: address(a.name),
				}, a.Digest())
			}
		}
	}
}

// waitUntil waits for a condition, exchanging digests meanwhile. The test fails if the condition
// does not hold within 2000 rounds.
func (c *cluster) waitUntil(condition string, holds func() bool) {
	c.t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		c.exchangeDigests()
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Fatalf("condition not reached: %s", condition)
}

func (c *cluster) waitUntilReady() {
	c.t.Helper()
	c.waitUntil("all nodes are ready", func() bool {
		return !slices.ContainsFunc(c.all(), func(n *node) bool { return !n.Ready() })
	})
}

// waitUntilEqual waits until all nodes have the same configuration and withdrawals.
func (c *cluster) waitUntilEqual() {
	c.t.Helper()
	c.waitUntil("all nodes have the same configuration", func() bool {
		nodes := c.all()
		return !slices.ContainsFunc(nodes, func(n *node) bool {
			return string(n.Digest()) != string(nodes[0].Digest())
		})
	})
}

var clock = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// putTeam returns an act that puts a team.
func putTeam(id, name string, rate float64) configurator.Change {
	return configurator.Change{
		ID:       id,
		Operator: "ann",
		At:       clock,
		Operations: []configurator.Operation{{
			Action: configurator.ActionPut,
			Team: &configurator.Team{
				Name: name,
				Rate: rate,
			},
		}},
	}
}

func withdrawal(subject configurator.Subject, name string) configurator.Withdrawal {
	return configurator.Withdrawal{
		Subject:  subject,
		Name:     name,
		At:       clock,
		Operator: "ann",
	}
}

// storedHead reads the head from the store; an empty one if it cannot be read.
func (c *cluster) storedHead() configurator.Head {
	c.t.Helper()
	store := binder.New(binder.Config{
		URL:    "http://platform",
		Client: c.platform.Client(),
	})
	entry, err := store.Get(c.t.Context(), headKey)
	if err != nil {
		return configurator.Head{}
	}
	head, err := configurator.DecodeHead(entry.Value)
	if err != nil {
		c.t.Fatal(err)
	}
	return head
}

// freeze holds back everything that the node sends and every answer that it receives.
func (c *cluster) freeze(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.frozen[name] == nil {
		c.frozen[name] = make(chan struct{})
	}
}

// thaw ends the freeze of a node.
func (c *cluster) thaw(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if frozen := c.frozen[name]; frozen != nil {
		close(frozen)
		delete(c.frozen, name)
	}
}

// waitWhileFrozen waits while the node is frozen.
func (c *cluster) waitWhileFrozen(name string) {
	c.mutex.Lock()
	frozen := c.frozen[name]
	c.mutex.Unlock()
	if frozen != nil {
		<-frozen
	}
}

// wrapStore wraps the node's access to the store, so that freezes and breakAfterSwap affect
// it.
func (c *cluster) wrapStore(n *node) {
	swap, get := n.config.Store.Swap, n.config.Store.Get
	n.config.Store.Swap = func(ctx context.Context, request storer.Swap) (storer.Entry, error) {
		c.waitWhileFrozen(n.name)
		entry, err := swap(ctx, request)
		c.waitWhileFrozen(n.name)
		if request.Key == headKey && c.applyBreak() {
			return storer.Entry{}, &storer.Unavailable{}
		}
		return entry, err
	}
	n.config.Store.Get = func(ctx context.Context, key string) (storer.Entry, error) {
		entry, err := get(ctx, key)
		c.waitWhileFrozen(n.name)
		return entry, err
	}
}

// waitForThaw waits until the node is not frozen, and reports whether that was before the context
// ended.
func (c *cluster) waitForThaw(ctx context.Context, name string) bool {
	c.mutex.Lock()
	frozen := c.frozen[name]
	c.mutex.Unlock()
	if frozen == nil {
		return true
	}
	select {
	case <-frozen:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// breakAfterSwap makes the store carry out the next swap of the head, lose the answer and then
// refuse all calls.
func (c *cluster) breakAfterSwap() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.breaking = true
}

// applyBreak starts the outage that breakAfterSwap requested, and reports whether one was requested.
func (c *cluster) applyBreak() bool {
	c.mutex.Lock()
	breaking := c.breaking
	c.breaking = false
	c.mutex.Unlock()
	if breaking {
		c.platform.SetFaults(platformer.Faults{
			Outage: platformer.OutageRefuse,
		})
	}
	return breaking
}
