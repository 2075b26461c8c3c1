package spreadmeter

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/binder"
	"github.com/buckthorngap/buckthorngap/internal/emulator/platformer"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/spreader"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
)

// fleet is a number of Spreaders, which distribute the configuration between
// instances, with one emulated platform. It counts their messages and the bytes of
// these.
type fleet struct {
	platform *platformer.Platform
	nodes    []*node
	members  []tracker.Member
	messages atomic.Int64
	bytes    atomic.Int64
	cancel   context.CancelFunc
	group    sync.WaitGroup
}

// node is the Spreader of one instance of a fleet.
type node struct {
	*spreader.Spreader
	fleet *fleet
	self  messenger.Sender
	// sent and received count the bytes of message payloads.
	sent     atomic.Int64
	received atomic.Int64
}

func (n *node) run(ctx context.Context) {
	defer n.fleet.group.Done()
	_ = n.Run(ctx)
}

const (
	basePort          = 10_000
	readyPollInterval = time.Millisecond
)

// newFleet starts instances, distributed evenly over the failure domains, and
// waits until all are ready.
func newFleet(ctx context.Context, instances, domains int) *fleet {
	fleetContext, cancel := context.WithCancel(ctx)
	f := &fleet{
		platform: platformer.New(platformer.Config{}),
		cancel:   cancel,
	}
	for i := range instances {
		f.add(fmt.Sprintf("entry%03d", i), fmt.Sprintf("domain%d", i%domains))
	}
	for _, n := range f.nodes {
		f.group.Add(1)
		go n.run(fleetContext)
	}
	for _, n := range f.nodes {
		for !n.Ready() && ctx.Err() == nil {
			time.Sleep(readyPollInterval)
		}
	}
	return f
}

func (f *fleet) add(name, domain string) {
	n := &node{
		fleet: f,
		self: messenger.Sender{
			Name:        name,
			Domain:      domain,
			Incarnation: 1,
		},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.ErrorLevel)
	n.Spreader = spreader.New(spreader.Config{
		Store: binder.New(binder.Config{
			URL:    "http://platform",
			Client: f.platform.Client(),
		}),
		Self:    n.self,
		Members: func() []tracker.Member { return f.members },
		Call:    n.call,
		Log:     logrus.NewEntry(log),
	})
	f.nodes = append(f.nodes, n)
	f.members = append(f.members, tracker.Member{
		Peer: messenger.Peer{
			Name:    name,
			Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(basePort+len(f.nodes)-1)),
		},
		Domain: domain,
		State:  tracker.Alive,
	})
}

// call delivers a message to another node, which it finds by the port, and counts it.
func (n *node) call(ctx context.Context, to messenger.Peer, topic string, payload []byte) ([]byte, error) {
	target := n.fleet.nodes[to.Address.Port()-basePort]
	answer, err := target.Handlers()[topic](ctx, n.self, payload)
	length := int64(len(payload) + len(answer))
	n.fleet.messages.Add(1)
	n.fleet.bytes.Add(length)
	n.sent.Add(int64(len(payload)))
	n.received.Add(int64(len(answer)))
	target.received.Add(int64(len(payload)))
	target.sent.Add(int64(len(answer)))
	return answer, err
}

func (f *fleet) stop() {
	f.cancel()
	f.group.Wait()
}

// resetCounts sets all counts to zero, to exclude the messages of the start.
func (f *fleet) resetCounts() {
	f.messages.Store(0)
	f.bytes.Store(0)
	for _, n := range f.nodes {
		n.sent.Store(0)
		n.received.Store(0)
	}
}

// busiestBytes returns the highest number of bytes that any instance sent and received.
func (f *fleet) busiestBytes() int64 {
	most := int64(0)
	for _, n := range f.nodes {
		most = max(most, n.sent.Load()+n.received.Load())
	}
	return most
}
