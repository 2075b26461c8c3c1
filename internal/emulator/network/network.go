package network

import (
	"context"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// Network delivers messages between nodes in one process.
type Network struct {
	config Config

	lock sync.Mutex
	// nodes maps the nodes' addresses to the nodes.
	nodes map[string]*Node
}

// New returns a network without nodes.
func New(config Config) *Network {
	return &Network{
		config: config,
		nodes:  map[string]*Node{},
	}
}

// SetLate replaces Config.Late.
func (n *Network) SetLate(late func() bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.config.Late = late
}

// late reports whether a message is handled although its caller has given up.
func (n *Network) late() bool {
	n.lock.Lock()
	late := n.config.Late
	n.lock.Unlock()
	return late != nil && late()
}

// Join adds a node and replaces an earlier one with the same address.
func (n *Network) Join(node *Node) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.nodes[node.Peer.Address.String()] = node
}

// Caller returns the messenger.Caller with which the node sends messages.
func (n *Network) Caller(node *Node) messenger.Caller {
	return func(ctx context.Context, to messenger.Peer, topic string, payload []byte) ([]byte, error) {
		node.Gate.Wait()
		d := &delivery{
			network:       n,
			from:          node,
			to:            to,
			topic:         topic,
			payload:       payload,
			callerContext: ctx,
			done:          make(chan struct{}),
		}
		go d.run(context.WithoutCancel(ctx))
		select {
		case <-d.done:
		case <-ctx.Done():
			node.Gate.Wait()
			return nil, unreachable(to, ctx.Err())
		}
		node.Gate.Wait()
		return d.answer, d.err
	}
}

// transfer counts a message or answer, waits for its latency and reports whether it arrives.
func (n *Network) transfer(from, to, topic string, payload []byte) bool {
	if n.config.Count != nil {
		n.config.Count(from, to, topic, len(payload))
	}
	if n.config.Lose != nil && n.config.Lose(from, to, topic) {
		return false
	}
	if n.config.Delay != nil {
		time.Sleep(n.config.Delay(from, to))
	}
	return true
}
