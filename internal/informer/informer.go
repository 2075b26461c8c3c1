package informer

import (
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/informer/informerpb"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

const (
	// spreadTime is how long a fact is passed on after this instance has learned it, and maxSpread limits how many are.
	spreadTime = 2 * time.Second
	maxSpread  = 64
)

// Informer passes the facts that this instance learns on to the others, with its heartbeats.
type Informer struct {
	config Config
	// learned counts the facts that were new to this instance when a peer told them.
	learned *metrics.Counter

	mu sync.Mutex
	// recent are the facts that are passed on, in the order in which they were learned.
	recent []recentFact
}

// recentFact is a fact that is passed on.
type recentFact struct {
	fact Fact
	// learned is when this instance learned it.
	learned time.Time
}

// New returns an Informer that knows no facts.
func New(config Config) *Informer {
	return &Informer{
		config:  config.complete(),
		learned: metrics.GetOrCreateCounter(`buckthorngap_facts_learned_total`),
	}
}

// Tell passes a fact on that this instance has learned, in place of former ones about the same subject.
func (i *Informer) Tell(fact Fact) {
	now := i.config.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recent = slices.DeleteFunc(i.recent, func(recent recentFact) bool { return fact.replaces(recent.fact) })
	if len(i.recent) == maxSpread {
		i.recent = slices.Delete(i.recent, 0, 1)
	}
	i.recent = append(i.recent, recentFact{
		fact:    fact,
		learned: now,
	})
}

// Attachment returns the facts that were learned a short while ago, for a heartbeat.
func (i *Informer) Attachment() []byte {
	now := i.config.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recent = slices.DeleteFunc(i.recent, func(recent recentFact) bool { return now.Sub(recent.learned) > spreadTime })
	message := &informerpb.Facts{}
	for _, recent := range i.recent {
		message.Facts = append(message.Facts, recent.fact.encode(now))
	}
	encoded, err := proto.Marshal(message)
	if err != nil {
		i.config.Log.WithError(err).Warn("fact.unencoded")
		return nil
	}
	return encoded
}

// HandleAttachment applies the facts in a peer's heartbeat, and passes on those that are new.
func (i *Informer) HandleAttachment(from messenger.Peer, attachment []byte) {
	message := &informerpb.Facts{}
	if err := proto.Unmarshal(attachment, message); err != nil {
		i.config.Log.WithField("peer", from.Name).WithError(err).Warn("fact.malformed")
		return
	}
	now := i.config.Now()
	for _, told := range message.GetFacts()[:min(len(message.GetFacts()), maxSpread)] {
		fact, err := decode(told, now)
		if err != nil {
			i.config.Log.WithField("peer", from.Name).WithError(err).Warn("fact.malformed")
			continue
		}
		if learn := i.config.Learn[fact.Kind]; learn != nil && learn(fact, from.Name) {
			i.learned.Inc()
			i.Tell(fact)
		}
	}
}
