package resumer

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	testService = "llm"
	// testRead is the time between two reads of the store by an instance, and testBeat that between heartbeats.
	testRead = 700 * time.Millisecond
	testBeat = 500 * time.Millisecond
)

// testStream is a stream under way.
type testStream struct {
	name    string
	version string
}

// testSite is a number of instances before engines of some versions, with a store, in manual time.
type testSite struct {
	now    time.Time
	random *rand.Rand
	nodes  []*Resumer
	// cut holds the instances that reach neither the store nor others; down those that do not answer.
	cut, down map[int]bool
	// disturbed holds when each instance was last started, or cut off or joined again.
	disturbed []time.Time
	// confirmed holds when the store last answered each instance, and known the versions that it listed then.
	confirmed []time.Time
	known     [][]string
	versions  []string

	entries  map[string]storer.Entry
	revision uint64
	era      uint64
	// swaps counts the writes that were tried, and saved is a copy of the store.
	swaps int
	saved map[string]storer.Entry

	// resumed, refused and joined count the streams that were taken up: that went on, that did not at an instance in touch
	// although their version serves, and that went on at another version.
	resumed, refused, joined int
}

func newTestSite(instances int, seed uint64) *testSite {
	s := &testSite{
		now:       time.Unix(1000, 0),
		random:    rand.New(rand.NewPCG(seed, 1)),
		nodes:     make([]*Resumer, instances),
		cut:       map[int]bool{},
		down:      map[int]bool{},
		disturbed: make([]time.Time, instances),
		confirmed: make([]time.Time, instances),
		known:     make([][]string, instances),
		entries:   map[string]storer.Entry{},
	}
	for number := range instances {
		s.start(number)
	}
	return s
}

// start starts an instance that knows nothing.
func (s *testSite) start(number int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s.confirmed[number], s.known[number], s.disturbed[number] = time.Time{}, nil, s.now
	s.nodes[number] = New(Config{
		Self: s.peer(number).Name,
		Store: &storer.Store{
			Swap: func(_ context.Context, swap storer.Swap) (storer.Entry, error) { return s.swap(number, swap) },
		},
		Upstreams: func() []storer.Instance { return s.upstreams(number) },
		Confirmed: func() time.Time { return s.confirmed[number] },
		Peers:     func() []messenger.Peer { return s.peers(number) },
		Call: func(ctx context.Context, to messenger.Peer, _ string, payload []byte) ([]byte, error) {
			return s.call(ctx, number, int(to.Address.Port()), payload)
		},
		Now:    func() time.Time { return s.now },
		Random: s.random.IntN,
		Log:    log,
	})
}

func (s *testSite) swap(number int, swap storer.Swap) (storer.Entry, error) {
	s.swaps++
	if s.cut[number] {
		return storer.Entry{}, &storer.Unavailable{}
	}
	if current := s.entries[swap.Key].Revision; current != swap.Expected {
		return storer.Entry{}, &storer.Conflict{
			Key:     swap.Key,
			Current: current,
		}
	}
	s.revision++
	entry := storer.Entry{
		Key:      swap.Key,
		Value:    swap.Value,
		Revision: storer.NewRevision(s.era, s.revision),
	}
	s.entries[swap.Key] = entry
	return entry, nil
}

// engines sets the versions of the engines that serve.
func (s *testSite) engines(versions ...string) { s.versions = versions }

func (s *testSite) upstreams(number int) []storer.Instance {
	var upstreams []storer.Instance
	for _, version := range s.known[number] {
		upstreams = append(upstreams, storer.Instance{
			Name:    "e-" + version,
			Role:    storer.RoleEngine,
			Service: testService,
			Version: version,
		})
	}
	return upstreams
}

// testAddress returns an address whose port is the instance's number.
func testAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(number))
}

func (s *testSite) peer(number int) messenger.Peer {
	return messenger.Peer{
		Name:    fmt.Sprintf("i%d", number),
		Address: testAddress(number),
	}
}

func (s *testSite) sender(number int) messenger.Sender {
	return messenger.Sender{
		Name: fmt.Sprintf("i%d", number),
	}
}

func (s *testSite) peers(number int) []messenger.Peer {
	var peers []messenger.Peer
	for other := range s.nodes {
		if other != number {
			peers = append(peers, s.peer(other))
		}
	}
	return peers
}

func (s *testSite) call(ctx context.Context, from, to int, payload []byte) ([]byte, error) {
	if s.cut[from] || s.cut[to] || s.down[to] {
		return nil, context.DeadlineExceeded
	}
	return s.nodes[to].handle(ctx, s.sender(from), payload)
}

// read lets an instance read the store.
func (s *testSite) read(number int) {
	if s.cut[number] {
		return
	}
	n := s.nodes[number]
	update := follower.Update{
		Complete: true,
		Entries:  slices.Collect(maps.Values(s.entries)),
		Revision: storer.NewRevision(s.era, s.revision),
	}
	former := n.services[testService]
	update.Restored = former != nil && former.revision.Era() < s.era
	s.confirmed[number], s.known[number] = s.now, slices.Clone(s.versions)
	n.Apply(update)
}

// step lets time pass, in which the instances read, write and exchange heartbeats.
func (s *testSite) step(span time.Duration) {
	const tick = 100 * time.Millisecond
	for end := s.now.Add(span); s.now.Before(end); s.now = s.now.Add(tick) {
		for number, n := range s.nodes {
			if s.random.IntN(int(testRead/tick)) == 0 || s.now.Sub(s.confirmed[number]) >= testRead {
				s.read(number)
			}
			if s.random.IntN(int(checkInterval/tick)) == 0 {
				n.check(context.Background())
			}
			if s.random.IntN(int(testBeat/tick)) == 0 {
				s.beat(number)
			}
		}
	}
}

// beat sends the heartbeat of an instance to some others.
func (s *testSite) beat(number int) {
	attachment := s.nodes[number].Attachment()
	for range 4 {
		other := s.random.IntN(len(s.nodes))
		if other != number && !s.cut[number] && !s.cut[other] && !s.down[other] {
			s.nodes[other].HandleAttachment(s.peer(number), attachment)
		}
	}
}

// settle lets time pass until every version is in use.
func (s *testSite) settle() { s.step(3*activationTime + time.Second) }

// first returns the instance that stores the streams of all.
func (s *testSite) first() int {
	first := 0
	for number := range s.nodes {
		if hashStream(s.peer(number).Name) < hashStream(s.peer(first).Name) {
			first = number
		}
	}
	return first
}

// cutAll cuts all instances off, or joins them again.
func (s *testSite) cutAll(cut bool) {
	for number := range s.nodes {
		s.cut[number] = cut
	}
}

// copy returns a copy of the store.
func (s *testSite) copy() map[string]storer.Entry { return maps.Clone(s.entries) }

// restore replaces the store by a copy.
func (s *testSite) restore(saved map[string]storer.Entry) {
	s.era++
	s.entries = map[string]storer.Entry{}
	for key, entry := range saved {
		entry.Revision = storer.NewRevision(s.era, entry.Revision.Number())
		s.entries[key] = entry
	}
}

// playReleases plays faults and releases for a span of time while streams begin, break and are taken up again.
func (s *testSite) playReleases(ctx context.Context, span time.Duration) {
	var streams []testStream
	release := 1
	for end := s.now.Add(span); s.now.Before(end); s.step(200 * time.Millisecond) {
		switch s.random.IntN(30) {
		case 0:
			release++
			s.versions = append(s.versions, fmt.Sprintf("v%d", release))
		case 1:
			if len(s.versions) > 1 {
				s.versions = slices.Delete(s.versions, 0, 1)
			}
		case 2:
			number := s.random.IntN(len(s.nodes))
			s.cut[number], s.disturbed[number] = !s.cut[number], s.now
		case 3:
			s.start(s.random.IntN(len(s.nodes)))
		case 4:
			for number := range s.nodes {
				if s.random.IntN(2) == 0 {
					s.start(number)
				}
			}
		case 5:
			for number := range s.nodes {
				s.start(number)
			}
		}
		for range 3 {
			streams = append(streams, s.begin(len(streams))...)
			if len(streams) > 0 {
				s.takeUp(ctx, streams[max(0, len(streams)-1-s.random.IntN(40))])
			}
		}
	}
}

// begin begins a stream at an instance, if that has a version to use.
func (s *testSite) begin(sequence int) []testStream {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	var usable []string
	for _, version := range n.Versions(testService) {
		if slices.Contains(s.versions, version) {
			usable = append(usable, version)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	stream := testStream{
		name:    fmt.Sprintf("s%d", sequence),
		version: usable[s.random.IntN(len(usable))],
	}
	n.Began(stream.name, stream.version)
	return []testStream{stream}
}

// takeUp takes a stream up again at an instance.
func (s *testSite) takeUp(ctx context.Context, stream testStream) {
	number := s.random.IntN(len(s.nodes))
	inTouch := !s.cut[number] && s.now.Sub(s.disturbed[number]) > 3*time.Second
	version, err := s.nodes[number].Resume(ctx, testService, stream.name)
	switch {
	case err != nil && inTouch && slices.Contains(s.versions, stream.version):
		s.refused++
	case err != nil:
	case version != stream.version:
		s.joined++
	default:
		s.resumed++
	}
}
