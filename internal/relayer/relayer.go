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

// Topic is the topic of messages about the store.
const Topic = "store"

const (
	// callTimeout ends a question to a reader, which answers from memory.
	callTimeout = 300 * time.Millisecond
	// rest is how long a reader that failed is not asked.
	rest = 2 * time.Second
	// agePauses is how many pauses old what a reader tells may be: it reads twice
	// a pause, and one reading may be lost.
	agePauses = 1.5
)

// Relayer holds what this instance knows of the store, and asks other instances
// of its failure domain for what it lacks.
type Relayer struct {
	config Config

	mu      sync.Mutex
	history history
	// failed is until when readers that failed are not asked.
	failed map[string]time.Time
	// reads is set while this instance reads for others.
	reads bool
	// source is the instance that told something last; empty if the store did.
	source string
}

// New returns a Relayer that knows nothing.
func New(config Config) *Relayer {
	return &Relayer{
		config: config.complete(),
		history: history{
			entries: map[string]storer.Entry{},
		},
		failed: map[string]time.Time{},
	}
}

// Handlers returns what answers other instances.
func (r *Relayer) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		Topic: r.handle,
	}
}

// Take notes an update of the follower and when the store gave it, so that it
// can be passed on.
func (r *Relayer) Take(update follower.Update, heard time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.take(update, heard)
}

// Pause is the time until the store, or a reader, is to be asked again.
func (r *Relayer) Pause() time.Duration {
	if len(r.readers()) == 0 {
		return r.config.Pause
	}
	return r.config.Pause / hurry
}

// readers are the instances that read for the failure domain.
func (r *Relayer) readers() []messenger.Peer {
	return choose(r.config.Self, r.config.Peers(), r.config.Share)
}

// Fetch asks the readers of the failure domain for what changed after a revision,
// or for everything. It returns false if this instance is to read the store
// itself: because it is a reader, or none has a fresh answer.
func (r *Relayer) Fetch(ctx context.Context, after storer.Revision, whole bool) (follower.Relayed, bool) {
	chosen := r.readers()
	own := slices.ContainsFunc(chosen, func(p messenger.Peer) bool { return p.Name == r.config.Self })
	r.become(own)
	if own || len(chosen) == 0 {
		return follower.Relayed{}, false
	}
	for _, peer := range spread(r.config.Self, chosen) {
		if r.rests(peer) {
			continue
		}
		relayed, err := r.ask(ctx, peer, after, whole)
		if err == nil {
			r.from(peer.Name)
			return relayed, true
		}
		r.fail(peer, err)
	}
	r.from("")
	return follower.Relayed{}, false
}

// become notes whether this instance reads for others.
func (r *Relayer) become(reads bool) {
	r.mu.Lock()
	changed := r.reads != reads
	r.reads = reads
	r.mu.Unlock()
	if changed {
		r.config.Log.WithField("reads", reads).Info("relay.reading")
	}
}

func (r *Relayer) from(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.source = source
}

func (r *Relayer) rests(peer messenger.Peer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.Now().Before(r.failed[peer.Name])
}

func (r *Relayer) fail(peer messenger.Peer, err error) {
	metrics.GetOrCreateCounter(`buckthorngap_relay_failures_total`).Inc()
	r.mu.Lock()
	r.failed[peer.Name] = r.config.Now().Add(rest)
	r.mu.Unlock()
	r.config.Log.WithFields(logrus.Fields{
		"peer":  peer.Name,
		"error": err,
	}).Info("relay.failed")
}

// ask asks one reader. It returns *Late if the reader itself knows nothing recent.
func (r *Relayer) ask(ctx context.Context, peer messenger.Peer, after storer.Revision, whole bool) (follower.Relayed, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	payload, err := proto.Marshal(&relayerpb.Ask{
		After:    uint64(after),
		Whole:    whole,
		Renewals: r.config.Renewals(),
	})
	if err != nil {
		return follower.Relayed{}, err
	}
	sent := r.config.Now()
	answer, err := r.config.Call(ctx, peer, Topic, payload)
	if err != nil {
		return follower.Relayed{}, err
	}
	told := &relayerpb.Told{}
	if err := proto.Unmarshal(answer, told); err != nil {
		return follower.Relayed{}, &Malformed{
			Cause: err,
		}
	}
	age := time.Duration(told.GetAge())
	update := decode(told)
	if update.Revision == 0 || age < 0 || age > r.oldest() || whole && (!update.Whole || update.Revision < after) {
		return follower.Relayed{}, &Late{
			Age:      age,
			Revision: update.Revision,
		}
	}
	return follower.Relayed{
		Update: update,
		Heard:  sent.Add(-age),
	}, nil
}

// oldest is how old what a reader tells may be.
func (r *Relayer) oldest() time.Duration {
	return time.Duration(agePauses * float64(r.config.Pause))
}

func (r *Relayer) handle(_ context.Context, _ messenger.Sender, payload []byte) ([]byte, error) {
	ask := &relayerpb.Ask{}
	if err := proto.Unmarshal(payload, ask); err != nil {
		return nil, &messenger.Refused{
			Code: messenger.CodeMalformed,
			Detail: (&Malformed{
				Cause: err,
			}).Error(),
		}
	}
	r.mu.Lock()
	update := r.history.since(storer.Revision(ask.GetAfter()), ask.GetWhole(), ask.GetRenewals())
	age := r.config.Now().Sub(r.history.heard)
	r.mu.Unlock()
	return proto.Marshal(encode(update, age))
}

// Dump returns the state for operators.
func (r *Relayer) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{
		Reads:    r.reads,
		Source:   r.source,
		Revision: r.history.revision,
		Heard:    r.history.heard,
		Entries:  len(r.history.entries),
	}
}
