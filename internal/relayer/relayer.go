package relayer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/relayer/relayerpb"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Topic is the topic of messages with updates of the store.
const Topic = "store"

const (
	// callTimeout limits a request to a reader, which answers from memory.
	callTimeout = 300 * time.Millisecond
	// failureCooldown is how long a reader that failed is not queried again.
	failureCooldown = 2 * time.Second
	// maxAgeIntervals is the maximum age of a reader's state, in read intervals: it reads twice per interval, and
	// one read may fail.
	maxAgeIntervals = 1.5
)

// Relayer holds this instance's copy of the store's entries, answers other instances of its failure
// domain from it, and queries the domain's readers for updates.
type Relayer struct {
	config Config

	mu      sync.Mutex
	history history
	// cooldowns holds, for readers that failed, the time until which they are not queried.
	cooldowns map[string]time.Time
	// isReader is set while this instance reads for others.
	isReader bool
	// source is the instance that the last update came from; empty if it was the store.
	source string
}

// New returns a Relayer that has read nothing yet.
func New(config Config) *Relayer {
	return &Relayer{
		config: config.complete(),
		history: history{
			entries: map[string]storer.Entry{},
		},
		cooldowns: map[string]time.Time{},
	}
}

// Handlers returns the handler of other instances' requests, by topic.
func (r *Relayer) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		Topic: r.handle,
	}
}

// Record adds an update that the follower received, and the time at which the store returned it, to
// the state that is shared with others.
func (r *Relayer) Record(update follower.Update, asOf time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.add(update, asOf)
}

// Confirmed returns when the store confirmed that the state shared with others was current; zero if it never did.
func (r *Relayer) Confirmed() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.asOf
}

// ReadInterval returns the time between two requests to the store or to a reader.
func (r *Relayer) ReadInterval() time.Duration {
	if len(r.readers()) == 0 {
		return r.config.ReadInterval
	}
	return r.config.ReadInterval / readerSpeedup
}

// readers returns the instances that read for the failure domain.
func (r *Relayer) readers() []messenger.Peer {
	return chooseReaders(r.config.Self, r.config.Peers(), r.config.Cores)
}

// Fetch requests the changes after a revision, or the complete state, from the failure domain's
// readers. It returns false if this instance has to read the store itself, because it is a reader
// or because no reader has a fresh state.
func (r *Relayer) Fetch(ctx context.Context, after storer.Revision, complete bool) (follower.Relayed, bool) {
	chosen := r.readers()
	isReader := slices.ContainsFunc(chosen, func(p messenger.Peer) bool { return p.Name == r.config.Self })
	r.setReader(isReader)
	if isReader || len(chosen) == 0 {
		return follower.Relayed{}, false
	}
	for _, peer := range rotateReaders(r.config.Self, chosen) {
		if r.coolingDown(peer) {
			continue
		}
		relayed, err := r.query(ctx, peer, after, complete)
		if err == nil {
			r.setSource(peer.Name)
			return relayed, true
		}
		r.recordFailure(peer, err)
	}
	r.setSource("")
	return follower.Relayed{}, false
}

// setReader records whether this instance reads for others.
func (r *Relayer) setReader(isReader bool) {
	r.mu.Lock()
	changed := r.isReader != isReader
	r.isReader = isReader
	r.mu.Unlock()
	if changed {
		r.config.Log.WithField("reads", isReader).Info("relay.reading")
	}
}

// setSource records where the last update came from.
func (r *Relayer) setSource(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.source = source
}

// coolingDown reports whether a reader failed too recently to be queried.
func (r *Relayer) coolingDown(peer messenger.Peer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.Now().Before(r.cooldowns[peer.Name])
}

// recordFailure starts the cooldown of a reader that failed.
func (r *Relayer) recordFailure(peer messenger.Peer, err error) {
	metrics.GetOrCreateCounter(`buckthorngap_relay_failures_total`).Inc()
	r.coolDown(peer)
	r.config.Log.WithFields(logrus.Fields{
		"peer":  peer.Name,
		"error": err,
	}).Info("relay.failed")
}

// coolDown excludes an instance from queries for a while.
func (r *Relayer) coolDown(peer messenger.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cooldowns[peer.Name] = r.config.Now().Add(failureCooldown)
}

// query requests an update from one reader. It returns *Stale if the reader's state is too old
// or does not satisfy the request.
func (r *Relayer) query(ctx context.Context, peer messenger.Peer, after storer.Revision, complete bool) (follower.Relayed, error) {
	relayed, age, err := r.call(ctx, peer, after, complete)
	if err != nil {
		return follower.Relayed{}, err
	}
	if age > r.maxAge() {
		return follower.Relayed{}, &Stale{
			Age:      age,
			Revision: relayed.Update.Revision,
		}
	}
	return relayed, nil
}

// call requests an update from an instance, and returns it with the age of that instance's state. It returns *Stale if
// the instance has no state, states an impossible age or does not satisfy the request.
func (r *Relayer) call(ctx context.Context, peer messenger.Peer, after storer.Revision, complete bool) (follower.Relayed, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	payload, err := proto.Marshal(&relayerpb.Ask{
		After:    uint64(after),
		Whole:    complete,
		Renewals: r.config.Renewals(),
	})
	if err != nil {
		return follower.Relayed{}, 0, err
	}
	sent := r.config.Now()
	answer, err := r.config.Call(ctx, peer, Topic, payload)
	if err != nil {
		return follower.Relayed{}, 0, err
	}
	message := &relayerpb.Told{}
	if err := proto.Unmarshal(answer, message); err != nil {
		return follower.Relayed{}, 0, &Malformed{
			Cause: err,
		}
	}
	age := time.Duration(message.GetAge())
	update := decode(message)
	if update.Revision == 0 || age < 0 || complete && (!update.Complete || update.Revision < after) {
		return follower.Relayed{}, 0, &Stale{
			Age:      age,
			Revision: update.Revision,
		}
	}
	return follower.Relayed{
		Update: update,
		AsOf:   sent.Add(-age),
	}, age, nil
}

// maxAge is the maximum age of a reader's state.
func (r *Relayer) maxAge() time.Duration {
	return time.Duration(maxAgeIntervals * float64(r.config.ReadInterval))
}

// handle answers another instance's request for an update.
func (r *Relayer) handle(_ context.Context, _ messenger.Sender, payload []byte) ([]byte, error) {
	request := &relayerpb.Ask{}
	if err := proto.Unmarshal(payload, request); err != nil {
		return nil, &messenger.Refused{
			Code: messenger.CodeMalformed,
			Detail: (&Malformed{
				Cause: err,
			}).Error(),
		}
	}
	r.mu.Lock()
	update := r.history.since(storer.Revision(request.GetAfter()), request.GetWhole(), request.GetRenewals())
	age := r.config.Now().Sub(r.history.asOf)
	r.mu.Unlock()
	return proto.Marshal(encode(update, age))
}

// Dump returns the state for operators.
func (r *Relayer) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{
		Reads:    r.isReader,
		Source:   r.source,
		Revision: r.history.revision,
		AsOf:     r.history.asOf,
		Entries:  len(r.history.entries),
	}
}
