package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/emulator/network"
	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/relayer"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	// maxDelay is the maximum time until a change is known everywhere.
	maxDelay = 4 * time.Second
	// pause is the time between two reads by an instance on its own.
	pause = maxDelay / 3
	// deathDelay is how long other instances still consider a dead instance alive.
	deathDelay = 7 * time.Second
	// answerTime is the response time of the store and of peers.
	answerTime = 4 * time.Millisecond
)

// store emulates the platform's store: upstreams' entries that are rewritten all the time, and one
// document.
type store struct {
	mu       sync.Mutex
	revision storer.Revision
	events   []storer.Entry
	// compacted is the revision up to which the history has been compacted.
	compacted storer.Revision
	down      bool
	calls     int
}

func (s *store) write(key, value string) storer.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.events = append(s.events, storer.Entry{
		Key:      key,
		Value:    []byte(value),
		Revision: s.revision,
	})
	return s.revision
}

// since returns the latest entries written after a revision.
func (s *store) since(after storer.Revision) storer.Changes {
	newest := map[string]storer.Entry{}
	for _, event := range s.events {
		if event.Revision > after {
			newest[event.Key] = event
		}
	}
	changes := storer.Changes{
		Revision: s.revision,
	}
	for _, entry := range newest {
		changes.Entries = append(changes.Entries, entry)
	}
	return changes
}

// forNode returns the store as a node reaches it.
func (s *store) forNode(n *node) *storer.Store {
	call := func(ctx context.Context) error {
		n.gate.Wait()
		s.mu.Lock()
		s.calls++
		unreachable := s.down || n.storeCut
		s.mu.Unlock()
		if unreachable {
			<-ctx.Done()
			return &storer.Unavailable{}
		}
		time.Sleep(answerTime)
		n.gate.Wait()
		return nil
	}
	return &storer.Store{
		Scan: func(ctx context.Context, _ string) (storer.Changes, error) {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			if err := call(ctx); err != nil {
				return storer.Changes{}, err
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.since(0), nil
		},
		Watch: func(ctx context.Context, _ string, after storer.Revision) (storer.Changes, error) {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			if err := call(ctx); err != nil {
				return storer.Changes{}, err
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if after < s.compacted {
				return storer.Changes{}, &storer.Compacted{}
			}
			return s.since(after), nil
		},
	}
}

// node is one instance.
type node struct {
	fleet  *fleet
	peer   messenger.Peer
	domain string
	gate   *network.Gate
	// storeCut is set while the store does not answer this instance.
	storeCut bool
	// killed is when the instance was killed; zero if it runs.
	killed time.Time
	// exempt is set while the instance need not know of changes.
	exempt bool

	mu sync.Mutex
	// revisions holds the revision of each entry that the instance knows of.
	revisions map[string]storer.Revision
	// decoded counts the entries that were passed on for decoding.
	decoded int
	// fullUpdates counts the updates with the complete state.
	fullUpdates int
}

func (n *node) apply(update follower.Update) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if update.Complete {
		n.fullUpdates++
	}
	n.decoded += len(update.Entries)
	for _, entry := range update.Entries {
		if entry.Revision < n.revisions[entry.Key] {
			n.fleet.reverted = true
		}
		n.revisions[entry.Key] = entry.Revision
	}
	for _, renewal := range update.Renewed {
		n.revisions[renewal.Key] = max(n.revisions[renewal.Key], renewal.Revision)
	}
}

// fleet is a set of instances with one store.
type fleet struct {
	store   *store
	network *network.Network
	nodes   []*node
	// reverted is set if an instance received an older entry after a newer one.
	reverted bool
	group    sync.WaitGroup

	mu sync.Mutex
	// unheard holds the instances whose messages and answers are lost.
	unheard map[string]bool
}

func newFleet(ctx context.Context, domains, members int) *fleet {
	f := &fleet{
		store:   &store{},
		unheard: map[string]bool{},
	}
	f.network = network.New(network.Config{
		Delay: func(string, string) time.Duration { return answerTime / 2 },
		Lose:  func(from, _, _ string) bool { return f.isUnheard(from) },
	})
	for d := range domains {
		for i := range members {
			f.add(ctx, fmt.Sprintf("d%d", d), fmt.Sprintf("d%d-i%d", d, i), len(f.nodes))
		}
	}
	return f
}

func (f *fleet) add(ctx context.Context, domain, name string, index int) {
	n := &node{
		fleet:  f,
		domain: domain,
		peer: messenger.Peer{
			Name:    name,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 7000),
		},
		gate:      &network.Gate{},
		revisions: map[string]storer.Revision{},
	}
	f.nodes = append(f.nodes, n)
	log := logrus.New()
	log.SetOutput(io.Discard)
	networkNode := &network.Node{
		Self: messenger.Sender{
			Name:   name,
			Domain: domain,
		},
		Peer: n.peer,
		Gate: n.gate,
	}
	r := relayer.New(relayer.Config{
		Self: name,
		Peers: func() []messenger.Peer {
			return f.alive(n, func(other *node) bool { return other.domain == n.domain })
		},
		Others: func() []messenger.Peer {
			return f.alive(n, func(other *node) bool { return other.domain != n.domain })
		},
		Cores: func(instance string) float64 {
			if isLarge(instance) {
				return 0.8
			}
			return 0.2
		},
		Call:         f.network.Caller(networkNode),
		Renewals:     func() bool { return false },
		ReadInterval: pause,
		Log:          log,
	})
	networkNode.Handlers = r.Handlers()
	f.network.Join(networkNode)
	entriesFollower := follower.New(follower.Config{
		Store:          f.store.forNode(n),
		WatchInterval:  r.ReadInterval,
		FetchRelayed:   r.Fetch,
		FetchFromPeers: r.FetchFromPeers,
		Observe:        r.Record,
		Apply:          n.apply,
		Log:            log,
	})
	f.group.Go(func() {
		time.Sleep(time.Duration(index) * time.Millisecond)
		_ = entriesFollower.Run(ctx)
	})
}

// alive returns the other instances that a node considers alive and for which included returns true.
func (f *fleet) alive(self *node, included func(*node) bool) []messenger.Peer {
	var peers []messenger.Peer
	for _, n := range f.nodes {
		if n == self || !included(n) || !n.killed.IsZero() && time.Since(n.killed) > deathDelay {
			continue
		}
		peers = append(peers, n.peer)
	}
	return peers
}

func (f *fleet) isUnheard(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unheard[name]
}

// setUnheard sets whether the messages and answers of an instance are lost. It still hears the others.
func (f *fleet) setUnheard(n *node, unheard bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unheard[n.peer.Name] = unheard
}

func (f *fleet) kill(n *node) {
	n.killed = time.Now()
	n.gate.Kill()
}

// run rewrites upstreams' entries unchanged, and writes a new value of the document each second. It
// returns the longest time until a new value was known to all live instances that reach the store
// or a peer; it measures every fourth value.
func (f *fleet) run(span time.Duration) time.Duration {
	worst := time.Duration(0)
	for second := range int(span / time.Second) {
		began := time.Now()
		revision := f.store.write("config", fmt.Sprint(time.Now().UnixNano()))
		for serverNumber := 0; time.Since(began) < time.Second; serverNumber++ {
			f.store.write(fmt.Sprintf("servers/%d", serverNumber), "same")
			time.Sleep(10 * time.Millisecond)
		}
		if second%4 != 0 {
			continue
		}
		for !f.knownToAll(revision) && time.Since(began) < 3*maxDelay {
			time.Sleep(10 * time.Millisecond)
		}
		worst = max(worst, time.Since(began))
	}
	return worst
}

// knownToAll reports whether all instances that should know of a revision of the document do.
func (f *fleet) knownToAll(revision storer.Revision) bool {
	return !slices.ContainsFunc(f.nodes, func(n *node) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.killed.IsZero() && !n.exempt && n.revisions["config"] < revision
	})
}

// isLarge reports whether an instance has a larger processor share than others.
func isLarge(instance string) bool { return strings.HasSuffix(instance, "0") }

// preferredReaders returns, for each failure domain, the two instances that read for it and the one
// that would be chosen next.
func (f *fleet) preferredReaders() []*node {
	var readers []*node
	for _, n := range f.nodes {
		if isLarge(n.peer.Name) && n.killed.IsZero() {
			readers = append(readers, n)
		}
	}
	return readers
}

// end stops the instances and waits for the messages that are still under way.
func (f *fleet) end(cancel context.CancelFunc) {
	cancel()
	for _, n := range f.nodes {
		n.gate.Thaw()
	}
	f.group.Wait()
	time.Sleep(maxDelay)
}

// testFleet runs a scenario on 60 instances in two failure domains.
func testFleet(t *testing.T, scenario func(is *is.I, f *fleet)) {
	t.Helper()
	testFleetOf(t, 2, 30, scenario)
}

// testFleetOf runs a scenario on a number of failure domains with a number of instances each, and checks that no
// instance received an older entry after a newer one.
func testFleetOf(t *testing.T, domains, members int, scenario func(is *is.I, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, domains, members)
		defer f.end(cancel)
		f.run(4 * time.Second) // the start
		scenario(is, f)
		is.True(!f.reverted)
	})
}
