package tracker_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/emulator/network"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// fleet runs trackers on one emulated network in virtual time.
type fleet struct {
	network  *network.Network
	nodes    map[string]*network.Node
	trackers map[string]*tracker.Tracker
	stops    map[string]context.CancelFunc
	group    sync.WaitGroup

	lock       sync.Mutex
	cut        func(from, to string) bool
	down       bool
	reads      int
	rows       []storer.Instance
	deliveries map[string]map[string]int
	// messages and bytes count what all instances sent, including answers.
	messages, bytes int
	neighbours      int
}

func newFleet(domains, size int) *fleet {
	f := &fleet{
		nodes:      map[string]*network.Node{},
		trackers:   map[string]*tracker.Tracker{},
		stops:      map[string]context.CancelFunc{},
		deliveries: map[string]map[string]int{},
	}
	f.network = network.New(network.Config{
		Delay: func(string, string) time.Duration { return time.Millisecond },
		Lose: func(from, to, _ string) bool {
			f.lock.Lock()
			defer f.lock.Unlock()
			return f.cut != nil && f.cut(from, to)
		},
		Count: func(_, _, _ string, bytes int) {
			f.lock.Lock()
			defer f.lock.Unlock()
			f.messages++
			f.bytes += bytes
		},
	})
	for d := range domains {
		for i := range size {
			f.rows = append(f.rows, row(string(rune('a'+d)), i))
		}
	}
	f.rows = append(f.rows, storer.Instance{
		Name: "engine1",
		Role: storer.RoleEngine,
	})
	return f
}

// row returns an instance as the platform lists it.
func row(domain string, i int) storer.Instance {
	return storer.Instance{
		Name:    fmt.Sprintf("%s%d", domain, i),
		Domain:  domain,
		Role:    storer.RoleEntry,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, domain[0], byte(i / 256), byte(i)}), 1),
	}
}

// list returns the platform's list; it fails while the platform is down.
func (f *fleet) list(context.Context) ([]storer.Instance, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.reads++
	if f.down {
		return nil, errors.New("down")
	}
	return f.rows, nil
}

// withLock runs a change of the fleet's fields under its lock.
func (f *fleet) withLock(change func()) {
	f.lock.Lock()
	defer f.lock.Unlock()
	change()
}

func (f *fleet) startAll() {
	for _, row := range f.rows {
		if row.Role == storer.RoleEntry {
			f.start(row, 1, nil)
		}
	}
}

func (f *fleet) start(row storer.Instance, incarnation uint64, known map[string]netip.AddrPort) {
	node := &network.Node{
		Self: messenger.Sender{
			Name:        row.Name,
			Domain:      row.Domain,
			Incarnation: incarnation,
		},
		Peer: messenger.Peer{
			Name:    row.Name,
			Address: row.Address,
		},
		Gate: &network.Gate{},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	t := tracker.New(tracker.Config{
		Self:            node.Self,
		SelfPeer:        node.Peer,
		List:            f.list,
		ConfiguredPeers: known,
		Neighbours:      f.neighbours,
		Call:            f.network.Caller(node),
		Now:             node.Gate.Now,
		Log:             log,
		Attachments: []tracker.Attachment{
			{
				Read: func() []byte { return []byte(row.Name) },
				Handle: func(from messenger.Peer, attachment []byte) {
					f.lock.Lock()
					defer f.lock.Unlock()
					if f.deliveries[row.Name] == nil {
						f.deliveries[row.Name] = map[string]int{}
					}
					f.deliveries[row.Name][string(attachment)]++
					if from.Name != string(attachment) {
						panic("attachment of another member")
					}
				},
			},
			{
				Read: func() []byte { return []byte("second of " + row.Name) },
				Handle: func(from messenger.Peer, attachment []byte) {
					if "second of "+from.Name != string(attachment) {
						panic("attachments are mixed up")
					}
				},
			},
		},
	})
	node.Handlers = t.Handlers()
	f.network.Join(node)
	f.nodes[row.Name], f.trackers[row.Name] = node, t
	ctx, cancel := context.WithCancel(context.Background())
	f.stops[row.Name] = cancel
	f.group.Go(func() { _ = t.Run(ctx) })
}

func (f *fleet) kill(name string) {
	f.stops[name]()
	f.nodes[name].Gate.Kill()
}

func (f *fleet) stop() {
	for name := range f.nodes {
		f.kill(name)
	}
	f.group.Wait()
	time.Sleep(time.Minute)
}

// states counts the members of the domain by the state in which name sees them.
func (f *fleet) states(name, domain string) map[tracker.State]int {
	counts := map[tracker.State]int{}
	for _, member := range f.trackers[name].Domain(domain) {
		counts[member.State]++
	}
	return counts
}

// state returns the state in which the viewer sees the named member.
func (f *fleet) state(viewer, name string) tracker.State {
	for _, member := range f.trackers[viewer].Members() {
		if member.Peer.Name == name {
			return member.State
		}
	}
	return ""
}

// TestMembersFindEachOther guards against members that stay unknown or not alive, and against too
// many reads of the list.
func TestMembersFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3, 11)
		f.startAll()
		defer f.stop()
		time.Sleep(30 * time.Second)
		for name, viewer := range f.trackers {
			is.True(viewer.Joined())
			is.Equal(len(viewer.Members()), 32) // all other instances
			for _, member := range viewer.Members() {
				if member.State != tracker.Alive {
					t.Error(name, member)
				}
			}
			is.Equal(len(viewer.Upstreams()), 1)
			is.Equal(viewer.Upstreams()[0].Name, "engine1")
		}
		f.withLock(func() { f.reads = 0 })
		time.Sleep(20 * time.Second)
		f.withLock(func() { is.True(f.reads <= 3*2*10+6) }) // two readers per domain, every 2 s
	})
}

// TestSilentMemberIsSuspectThenDeadThenJoinsAgain follows the states of a member that freezes and
// thaws, and of one that dies and restarts.
func TestSilentMemberIsSuspectThenDeadThenJoinsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 10)
		f.startAll()
		defer f.stop()
		time.Sleep(20 * time.Second)
		f.nodes["a3"].Gate.Freeze()
		time.Sleep(5 * time.Second)
		is.Equal(f.state("a0", "a3"), tracker.Suspect)
		time.Sleep(11 * time.Second)
		is.Equal(f.state("a0", "a3"), tracker.Dead)
		is.Equal(f.state("b0", "a3"), tracker.Dead) // other domains learn of the death
		f.nodes["a3"].Gate.Thaw()
		time.Sleep(10 * time.Second)
		is.Equal(f.state("a0", "a3"), tracker.Alive)
		is.Equal(f.states("a3", "a")[tracker.Alive], 9) // its own freeze makes no other member suspect
		is.True(f.trackers["a3"].Self().Counter > 0)

		f.kill("a5")
		time.Sleep(20 * time.Second)
		is.Equal(f.state("b7", "a5"), tracker.Dead)
		f.start(row("a", 5), 2, nil)
		time.Sleep(10 * time.Second)
		is.Equal(f.state("b7", "a5"), tracker.Alive) // a higher incarnation
		is.Equal(f.states("a5", "a")[tracker.Alive], 9)
	})
}

// TestPartitionDoesNotSpreadAsDeaths guards against a network partition between domains that spreads
// as the deaths of single members: they must be alive again soon after it, without refuting
// anything.
func TestPartitionDoesNotSpreadAsDeaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3, 4)
		f.startAll()
		defer f.stop()
		time.Sleep(20 * time.Second)
		f.withLock(func() {
			f.cut = func(from, to string) bool { return from[0] != to[0] && (from[0] == 'a' || to[0] == 'a') }
		})
		time.Sleep(20 * time.Second)
		is.Equal(f.states("a0", "a")[tracker.Alive], 3) // inside the domain nothing changed
		is.Equal(f.states("b0", "c")[tracker.Alive], 4)
		is.Equal(f.states("b0", "a")[tracker.Dead], 4)
		is.Equal(f.states("a0", "b")[tracker.Dead], 4)
		f.withLock(func() { f.cut = nil })
		time.Sleep(10 * time.Second)
		is.Equal(f.states("b0", "a")[tracker.Alive], 4)
		is.Equal(f.states("a0", "b")[tracker.Alive], 4)
		is.Equal(f.trackers["a0"].Self().Counter, uint32(0)) // no member had to refute a report
	})
}

// TestNewcomerJoinsWithoutTheStore guards against an instance that cannot join while the platform's
// list is unreachable: it joins through a configured peer and copies the list from a member.
func TestNewcomerJoinsWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 3)
		f.startAll()
		defer f.stop()
		time.Sleep(10 * time.Second)
		f.withLock(func() { f.down = true })
		time.Sleep(5 * time.Minute)
		is.Equal(len(f.trackers["a0"].Upstreams()), 1) // the last copy of the list stays in use
		f.start(row("a", 9), 1, map[string]netip.AddrPort{
			"a1": row("a", 1).Address,
		})
		time.Sleep(5 * time.Second)
		is.Equal(len(f.trackers["a9"].Members()), 6)
		is.Equal(len(f.trackers["a9"].Upstreams()), 1) // copied from a member
		is.Equal(f.state("b2", "a9"), tracker.Alive)
		is.NoErr(f.trackers["a9"].Leave(context.Background()))
		time.Sleep(2 * time.Second)
		is.Equal(f.state("a0", "a9"), tracker.Leaving)
		is.Equal(f.state("b2", "a9"), tracker.Leaving)
	})
}

// TestFreezesAreDetectedBeforeAnyTimer guards against a freeze that is missed, or counted although
// only the wall clock was set back.
func TestFreezesAreDetectedBeforeAnyTimer(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	wall := now
	detector := tracker.NewFreezeDetector(tracker.FreezeDetectorConfig{
		Now:  func() time.Time { return now },
		Wall: func() time.Time { return wall },
	})
	mark := detector.Mark()
	pass := func(mono, suspended time.Duration) {
		now = now.Add(mono)
		wall = wall.Add(mono + suspended)
	}
	pass(400*time.Millisecond, 0)
	is.True(!mark.Frozen())
	pass(600*time.Millisecond, 0)
	is.True(mark.Frozen()) // a stopped process
	is.True(mark.Frozen()) // the answer does not change
	mark = detector.Mark()
	is.True(!mark.Frozen())
	pass(0, time.Minute)
	detector.Check() // the detector's loop may detect the freeze first
	is.True(mark.Frozen())
	is.Equal(detector.Generation(), uint64(2))
	mark = detector.Mark()
	wall = wall.Add(-time.Hour) // a wall clock that is set back is no freeze
	is.True(!mark.Frozen())
	for range 3 {
		is.True(!mark.Frozen())
		pass(50*time.Millisecond, 200*time.Millisecond)
	}
	is.True(mark.Frozen()) // short suspensions add up
}
