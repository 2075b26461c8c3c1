package holder

import (
	"context"
	"crypto/rand"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
)

// Holder claims, holds and hands over the duties of one failure domain. Each
// duty has its own state, lock and loop.
type Holder struct {
	config  Config
	started time.Time
	duties  map[string]*duty
	leaving atomic.Bool
	// answered is when the store last answered, in nanoseconds since started.
	answered atomic.Int64

	lock sync.Mutex
	// recent are the live members as of seen, which all duties look at in each tick.
	recent []tracker.Member
	seen   time.Time
}

// New makes a holder without duties held.
func New(config Config) *Holder {
	config = config.complete()
	h := &Holder{
		config:  config,
		started: config.Now(),
		duties:  make(map[string]*duty, len(config.Duties)),
	}
	h.answered.Store(int64(-time.Hour))
	if config.Extension <= config.Death {
		config.Log.WithFields(logrus.Fields{
			"extension": config.Extension,
			"death":     config.Death,
		}).Warn("duty.extension")
	}
	for _, name := range config.Duties {
		h.duties[name] = newDuty(h, name)
	}
	return h
}

// Run claims and renews duties until the context ends, which ends all terms.
// Call Leave first to hand them over.
func (h *Holder) Run(ctx context.Context) error {
	for _, d := range h.duties {
		go d.loop(ctx)
	}
	go h.loop(ctx)
	<-ctx.Done()
	for _, d := range h.duties {
		d.drop()
	}
	return nil
}

// loop asks members for the owners that are not known here.
func (h *Holder) loop(ctx context.Context) {
	ticker := time.NewTicker(h.config.Lease / renewals / 2)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		h.inquire(ctx, turn)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Term returns the term of a duty that is held here. Check it before every act.
func (h *Holder) Term(name string) (Term, bool) {
	term, ok := h.Held(name)
	if !ok || term.Check() != nil {
		return Term{}, false
	}
	return term, true
}

// Held returns the term of a duty as Term does, and also while Check refuses
// acts only because the process was frozen: what the holder knows is still
// good then, since the term goes on once it is renewed.
func (h *Holder) Held(name string) (Term, bool) {
	d := h.duties[name]
	if d == nil {
		return Term{}, false
	}
	state := d.current()
	if state == nil {
		return Term{}, false
	}
	err := state.check()
	var frozen *Frozen
	if err != nil && !errors.As(err, &frozen) {
		return Term{}, false
	}
	return Term{
		state: state,
	}, true
}

// Owner returns who holds the duty, as known here. It may be out of date.
func (h *Holder) Owner(name string) (Owner, bool) {
	d := h.duties[name]
	if d == nil {
		return Owner{}, false
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.owner.Epoch == 0 || d.owner.vacant {
		return Owner{}, false
	}
	if d.owner.Peer.Name == h.config.Self.Name && d.term == nil {
		return Owner{}, false
	}
	return d.owner, true
}

// Learn takes news of an owner, for instance from the refusal of an old epoch.
func (h *Holder) Learn(name string, owner Owner) {
	if d := h.duties[name]; d != nil {
		d.learn(owner, h.config.Now())
	}
}

// Leave hands all duties over and claims none any more. It returns once the
// other instances may claim, or the context ends.
func (h *Holder) Leave(ctx context.Context) error {
	h.leaving.Store(true)
	var group sync.WaitGroup
	for _, d := range h.duties {
		r := &release{
			duty:  d,
			group: &group,
		}
		group.Add(1)
		go r.run(ctx)
	}
	group.Wait()
	return ctx.Err()
}

// Handlers are the handlers that the holder needs, by topic.
func (h *Holder) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		topicRenewal: h.handleRenewal,
		topicClaim:   h.handleClaim,
		topicRelease: h.handleRelease,
		topicDuties:  h.handleDuties,
	}
}

// members returns the other instances of the failure domain that are not dead.
func (h *Holder) members() []tracker.Member {
	return slices.DeleteFunc(slices.Clone(h.config.Members()), func(m tracker.Member) bool {
		return m.Domain != h.config.Self.Domain || m.State == tracker.Dead
	})
}

// alive returns the other instances of the failure domain that are alive.
func (h *Holder) alive() []tracker.Member {
	return slices.DeleteFunc(h.members(), func(m tracker.Member) bool { return m.State != tracker.Alive })
}

// recentlyAlive are the members that were alive a tick ago or later. They are not
// to be changed.
func (h *Holder) recentlyAlive() []tracker.Member {
	now := h.config.Now()
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.seen.IsZero() || now.Sub(h.seen) >= h.config.Lease/ticks {
		h.recent, h.seen = h.alive(), now
	}
	return h.recent
}

func (h *Holder) self() Owner {
	return Owner{
		Peer:        h.config.SelfPeer,
		Incarnation: h.config.Self.Incarnation,
	}
}

// noteStore notes that the store answered.
func (h *Holder) noteStore(now time.Time) { h.answered.Store(int64(now.Sub(h.started))) }

// reachable tells whether the store answered this instance recently.
func (h *Holder) reachable(now time.Time) bool {
	return now.Sub(h.started)-time.Duration(h.answered.Load()) < h.config.recency()
}

// newIdentity returns a unique write identity.
func (h *Holder) newIdentity() string {
	return h.config.Self.Name + "/" + strconv.FormatUint(h.config.Self.Incarnation, 10) + "/" + rand.Text()
}

// former tells whether an identity is that of a former start of this instance.
func (h *Holder) former(identity string) bool {
	rest, found := strings.CutPrefix(identity, h.config.Self.Name+"/")
	if !found {
		return false
	}
	number, _, found := strings.Cut(rest, "/")
	if !found {
		return false
	}
	incarnation, err := strconv.ParseUint(number, 10, 64)
	return err == nil && incarnation < h.config.Self.Incarnation
}

func peersOf(members []tracker.Member) []messenger.Peer {
	peers := make([]messenger.Peer, 0, len(members))
	for _, member := range members {
		peers = append(peers, member.Peer)
	}
	return peers
}
