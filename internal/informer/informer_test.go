package informer_test

import (
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/buckthorngap/buckthorngap/internal/informer"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// node is an instance that takes each fact for new, and keeps those that it learns.
type node struct {
	*informer.Informer
	now     time.Time
	learned []informer.Fact
}

func newNode() *node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &node{
		now: time.Unix(1000, 0),
	}
	learn := func(fact informer.Fact, _ string) bool {
		n.learned = append(n.learned, fact)
		return true
	}
	n.Informer = informer.New(informer.Config{
		Learn: map[informer.Kind]func(informer.Fact, string) bool{
			informer.Leaves:    learn,
			informer.Evacuated: learn,
			informer.Returned:  learn,
		},
		Now: func() time.Time { return n.now },
		Log: log,
	})
	return n
}

// send has a node handle what another one would send now, and returns what it learned of that.
func (n *node) send(to *node) []informer.Fact {
	to.learned = nil
	to.HandleAttachment(messenger.Peer{}, n.Attachment())
	return to.learned
}

func evacuated(domain string, revision storer.Revision, kind informer.Kind) informer.Fact {
	return informer.Fact{
		Kind:     kind,
		Subject:  domain,
		Revision: revision,
		Seen:     time.Unix(1000, 0),
	}
}

// TestFactsArrive checks that a fact arrives as it was told, that a later one about the same subject replaces it, that it is passed
// on, and not for ever.
func TestFactsArrive(t *testing.T) {
	is := is.New(t)
	first, second, third := newNode(), newNode(), newNode()
	leaves := informer.Fact{
		Kind:    informer.Leaves,
		Subject: "a",
		Start:   "7",
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
		Seen:    first.now,
	}
	first.Tell(leaves)
	first.Tell(evacuated("a", 5, informer.Evacuated))
	first.Tell(evacuated("b", 6, informer.Evacuated))
	first.Tell(evacuated("b", storer.NewRevision(1, 4), informer.Returned))
	want := []informer.Fact{leaves, evacuated("a", 5, informer.Evacuated), evacuated("b", storer.NewRevision(1, 4), informer.Returned)}
	is.Equal(first.send(second), want)
	is.Equal(second.send(third), want)
	first.now = first.now.Add(3 * time.Second)
	is.Equal(len(first.Attachment()), 0)
}

// TestMessagesAreBounded guards against messages that grow with the number of facts, and against a peer's message that is longer.
func TestMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	first, second := newNode(), newNode()
	for number := range 1000 {
		first.Tell(evacuated(fmt.Sprint(number), 5, informer.Evacuated))
	}
	facts := first.send(second)
	is.Equal(len(facts), 64)
	is.Equal(facts[63].Subject, "999") // the last ones
	long := append(first.Attachment(), first.Attachment()...)
	second.learned = nil
	second.HandleAttachment(messenger.Peer{}, long)
	is.Equal(len(second.learned), 64)
}

// field appends a string field of a message.
func field(message []byte, number protowire.Number, value string) []byte {
	return protowire.AppendString(protowire.AppendTag(message, number, protowire.BytesType), value)
}

// TestMessagesOfOtherBuilds guards against departures of former builds that are not understood, and against facts of later builds
// and malformed ones that hide others.
func TestMessagesOfOtherBuilds(t *testing.T) {
	for name, test := range map[string]struct {
		fact []byte
		want int
	}{
		"departure of a former build": {field(field(field(nil, 1, "a"), 2, "7"), 3, "10.0.0.1:80"), 2},
		"unknown kind":                {protowire.AppendVarint(protowire.AppendTag(field(nil, 1, "a"), 5, protowire.VarintType), 99), 1},
		"no subject":                  {field(nil, 2, "7"), 1},
		"bad address":                 {field(field(nil, 1, "a"), 3, "nowhere"), 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newNode()
			message := field(nil, 1, string(test.fact))
			n.HandleAttachment(messenger.Peer{}, field(message, 1, string(field(nil, 1, "sound"))))
			is.Equal(len(n.learned), test.want)
			n.HandleAttachment(messenger.Peer{}, []byte("garbage"))
			is.Equal(len(n.learned), test.want)
		})
	}
}
