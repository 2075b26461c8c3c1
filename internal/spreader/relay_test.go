package spreader

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/spreader/spreaderpb"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

func TestActReachesManyInstancesPastDeadOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		const instances, dead = 70, 3
		for i := range instances {
			c.start(fmt.Sprintf("n%d", i), fmt.Sprintf("d%d", i%4), func(s *Spreader) {
				listed := s.config.Members
				s.config.Members = func() []tracker.Member { return withDead(listed(), instances, dead) }
			})
		}
		c.waitUntilReady()
		receipt, err := c.nodes["n5"].Act(t.Context(), putTeam("act-1", "crates", 5))
		is.NoErr(err)
		is.Equal(receipt.Members, instances+dead)
		is.Equal(receipt.InForce, instances)
		is.Equal(len(receipt.Missing), dead)
		c.stopAll()
	})
}

// withDead adds members that are not running.
func withDead(members []tracker.Member, first, dead int) []tracker.Member {
	for i := range dead {
		name := fmt.Sprintf("n%d", first+i)
		members = append(members, tracker.Member{
			Peer: messenger.Peer{
				Name:    name,
				Address: address(name),
			},
			Domain: "d1",
			State:  tracker.Suspect,
		})
	}
	return members
}

func TestLongActIsPulled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		for i := range 20 {
			c.start(fmt.Sprintf("n%d", i), fmt.Sprintf("d%d", i%3), nil)
		}
		c.waitUntilReady()
		change := putTeam("act-1", "crates", 5)
		for i := range 300 {
			change.Operations = append(change.Operations, putTeam("", fmt.Sprint("team", i), 1).Operations...)
		}
		receipt, err := c.nodes["n5"].Act(t.Context(), change)
		is.NoErr(err)
		is.Equal(receipt.InForce, 20)
		c.stopAll()
	})
}

func TestOnlyTwoInstancesOfADomainWatch(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	for i := range 9 {
		c.start(fmt.Sprintf("n%d", i), fmt.Sprintf("d%d", i%3), nil)
	}
	watching := map[string]int{}
	for _, n := range c.all() {
		if n.watching() {
			watching[n.domain]++
		}
	}
	is.Equal(watching, map[string]int{"d0": 2, "d1": 2, "d2": 2})
}

// TestFrozenRelaysDoNotHoldBackOthers guards against pushes that wait for frozen instances,
// which neither answer nor refuse, before the instances behind them are reached.
func TestFrozenRelaysDoNotHoldBackOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		const instances, frozen = 60, 3
		for i := range instances {
			c.start(fmt.Sprintf("n%d", i), fmt.Sprintf("d%d", i%4), nil)
		}
		c.waitUntilReady()
		for i := range frozen {
			c.freeze(fmt.Sprintf("n%d", 10+i))
		}
		receipt, err := c.nodes["n5"].Withdraw(t.Context(), withdrawal(configurator.SubjectBatch, "b7"))
		is.NoErr(err)
		for _, n := range c.all() {
			if n.Current().Withdrawn(configurator.SubjectBatch, "b7") {
				continue
			}
			c.mutex.Lock()
			is.True(c.frozen[n.name] != nil)
			c.mutex.Unlock()
		}
		is.Equal(receipt.InForce+len(receipt.Missing), instances)
		for i := range frozen {
			is.True(slices.Contains(receipt.Missing, fmt.Sprintf("n%d", 10+i)))
			c.thaw(fmt.Sprintf("n%d", 10+i))
		}
		c.waitUntilEqual()
		c.stopAll()
	})
}

// TestInstanceIsNotReadyWhileAFresherPeerFails guards against a starting instance that
// becomes ready with an old configuration: a peer reports a revision but fails to return it,
// while the store lags behind that peer.
func TestInstanceIsNotReadyWhileAFresherPeerFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		n := c.start("n0", "d0", nil)
		c.waitUntilReady()
		n.install(apply(t, n.Current(), putTeam("two", "two", 1)), "test")
		newcomer := c.newNode("n1", "d1", nil)
		call := newcomer.config.Call
		var broken atomic.Bool
		broken.Store(true)
		newcomer.config.Call = func(ctx context.Context, to messenger.Peer, topic string, payload []byte) ([]byte, error) {
			if broken.Load() && topic == topicHead && len(payload) == 0 {
				return nil, errors.New("the head is not returned")
			}
			return call(ctx, to, topic, payload)
		}
		ctx, cancel := context.WithCancel(t.Context())
		j := &joiner{
			node: newcomer,
			done: make(chan struct{}),
		}
		go j.run(ctx)
		for range 20 {
			waiter.Pause(t.Context(), joinPause)
			is.True(!newcomer.Ready())
		}
		broken.Store(false)
		<-j.done
		cancel()
		is.Equal(newcomer.Current().Revision(), uint64(1))
		c.stopAll()
	})
}

// joiner runs join of a node in a goroutine.
type joiner struct {
	node *node
	done chan struct{}
}

func (j *joiner) run(ctx context.Context) {
	defer close(j.done)
	j.node.join(ctx)
}

func TestMalformedDigestIsIgnored(t *testing.T) {
	is := is.New(t)
	n := newCluster(t).newNode("n0", "d0", nil)
	n.Compare(messenger.Peer{}, []byte{0xff})
	is.Equal(len(n.pulls), 0)
}

func TestSplitCoversAllTargetsOnce(t *testing.T) {
	is := is.New(t)
	for count := range 40 {
		targets := make([]*spreaderpb.Target, count)
		total := 0
		parts := split(targets, 8)
		for _, part := range parts {
			total += len(part)
			is.True(len(part) > 0)
		}
		is.Equal(total, count)
		is.True(len(parts) <= 8)
	}
}

// FuzzHandlers passes arbitrary payloads to the handlers. No handler may panic, or change the
// configuration by a message that is not a valid act.
func FuzzHandlers(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0xff, 0x01})
	f.Add([]byte("\x0a\x02\x08\x01\x12\x01x\x1a\x02{}"))
	f.Add([]byte("\x08\x01\x12\x07team.00"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		s := New(Config{
			Log: discardLog(),
		})
		for _, handle := range s.Handlers() {
			_, _ = handle(t.Context(), messenger.Sender{}, payload)
		}
		if s.Current().Revision() != 0 && len(s.Current().Acts()) == 0 {
			t.Fatal("the revision changed without an act")
		}
	})
}

func TestMissingActsAreThoseThatTheSnapshotLacks(t *testing.T) {
	is := is.New(t)
	base := configurator.Empty()
	a := apply(t, apply(t, base, putTeam("one", "one", 1)), putTeam("two", "two", 1))
	b := apply(t, apply(t, base, putTeam("one", "one", 1)), putTeam("three", "three", 1))
	missing := missingActs(a.Acts(), b)
	is.Equal(len(missing), 1)
	is.Equal(missing[0].ID, "two")
}
