package drainer_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/drainer"
	"github.com/buckthorngap/buckthorngap/internal/informer"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// beat is the time between two heartbeats.
const beat = 500 * time.Millisecond

// node is an instance with its own list of upstreams.
type node struct {
	*drainer.Drainer
	informer *informer.Informer
	// starts holds the listed start of each upstream, and left those that the instance knows to leave.
	starts map[string]string
	left   map[drainer.Departure]bool
	frozen bool
}

// site is a number of instances in manual time.
type site struct {
	now    time.Time
	random *rand.Rand
	nodes  []*node
}

func newSite(instances int, seed uint64) *site {
	s := &site{
		now:    time.Unix(1000, 0),
		random: rand.New(rand.NewPCG(seed, 1)),
	}
	for range instances {
		s.nodes = append(s.nodes, s.start())
	}
	return s
}

// start returns an instance that lists the first start of all upstreams.
func (s *site) start() *node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &node{
		starts: map[string]string{
			"a": "1",
			"b": "1",
		},
		left: map[drainer.Departure]bool{},
	}
	n.informer = informer.New(informer.Config{
		Learn: map[informer.Kind]func(informer.Fact, string) bool{
			informer.Leaves: func(fact informer.Fact, peer string) bool { return n.Learn(fact, peer) },
		},
		Now: func() time.Time { return s.now },
		Log: log,
	})
	n.Drainer = drainer.New(drainer.Config{
		Tell: n.informer.Tell,
		Leave: func(departure drainer.Departure) bool {
			if n.starts[departure.Upstream] != departure.Start || n.left[departure] {
				return false
			}
			n.left[departure] = true
			return true
		},
		Now: func() time.Time { return s.now },
		Log: log,
	})
	return n
}

// beat lets each instance exchange heartbeats with the next two and one at random; a fraction of them is lost.
func (s *site) beat(lost float64) {
	s.now = s.now.Add(beat)
	for number := range s.nodes {
		for _, other := range []int{number + 1, number + 2, s.random.IntN(len(s.nodes))} {
			from, to := s.nodes[number], s.nodes[other%len(s.nodes)]
			if from.frozen || to.frozen || s.random.Float64() < lost {
				continue
			}
			to.informer.HandleAttachment(messenger.Peer{}, from.informer.Attachment())
			from.informer.HandleAttachment(messenger.Peer{}, to.informer.Attachment())
		}
	}
}

// informed returns how many instances know a departure.
func (s *site) informed(departure drainer.Departure) int {
	count := 0
	for _, n := range s.nodes {
		if n.left[departure] {
			count++
		}
	}
	return count
}

func departureOf(upstream, start string) drainer.Departure {
	return drainer.Departure{
		Upstream: upstream,
		Start:    start,
		Address:  netip.MustParseAddrPort("10.0.0.1:80"),
	}
}

// TestDeparturesReachAllInstances spreads a departure that one of many instances has observed.
func TestDeparturesReachAllInstances(t *testing.T) {
	seeds := uint64(20)
	if testing.Short() {
		seeds = 4
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			s := newSite(370, seed)
			s.nodes[s.random.IntN(len(s.nodes))].Observe(departureOf("a", "1"))
			for range 22 {
				s.beat(0.2)
			}
			is.Equal(s.informed(departureOf("a", "1")), len(s.nodes)) // within 11 s
			is.Equal(s.informed(departureOf("b", "1")), 0)
			for range 6 {
				s.beat(0)
			}
			is.Equal(len(s.nodes[0].informer.Attachment()), 0) // it is not passed on for ever
		})
	}
}

// TestOldDepartureIsNotOfTheNextStart lets an instance that stood still tell of a start that has been replaced, and one that
// stood still for longer tell of one that is listed.
func TestOldDepartureIsNotOfTheNextStart(t *testing.T) {
	is := is.New(t)
	s := newSite(20, 1)
	old := s.nodes[3]
	old.Observe(departureOf("a", "1"))
	stale := old.informer.Attachment()
	for _, n := range s.nodes {
		n.starts["a"] = "2"
	}
	s.nodes[4].informer.HandleAttachment(messenger.Peer{}, stale)
	for range 10 {
		s.beat(0)
	}
	is.Equal(s.informed(departureOf("a", "2")), 0)
	is.Equal(s.informed(departureOf("a", "1")), 1)
}

// TestMalformedDeparturesAreIgnored guards against messages of other builds.
func TestMalformedDeparturesAreIgnored(t *testing.T) {
	is := is.New(t)
	s := newSite(1, 1)
	s.nodes[0].informer.HandleAttachment(messenger.Peer{}, []byte("garbage"))
	s.nodes[0].informer.HandleAttachment(messenger.Peer{}, nil)
	is.Equal(len(s.nodes[0].left), 0)
}
