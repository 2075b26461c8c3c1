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

// Holder claims, holds and hands over the duties of one failure domain. Each duty has its own
// state, lock and goroutine.
type Holder struct {
	config  Config
	started time.Time
	duties  map[string]*duty
	leaving atomic.Bool
	// storeAnswered is when the store last answered, in nanoseconds since started.
	storeAnswered atomic.Int64

	lock sync.Mutex
	// era is the latest era of the store that is known here, and eraSince is when it was first seen.
	era      uint64
	eraSince time.Time
	// firstEra is the era that was seen first.
	firstEra uint64
	// aliveCache holds the alive members as of aliveCachedAt, since all duties read them in each
	// tick.
	aliveCache    []tracker.Member
	aliveCachedAt time.Time
}

// New returns a Holder that holds no duties yet.
func New(config Config) *Holder {
	config = config.complete()
	h := &Holder{
		config:  config,
		started: config.Now(),
		duties:  make(map[string]*duty, len(config.Duties)),
	}
	h.storeAnswered.Store(int64(-time.Hour))
	if config.Extension <= config.WitnessTimeout {
		config.Log.WithFields(logrus.Fields{
			"extension": config.Extension,
			"death":     config.WitnessTimeout,
		}).Warn("duty.extension")
	}
	for _, name := range config.Duties {
		h.duties[name] = newDuty(h, name)
	}
	return h
}

// Run claims and renews duties until the context ends, which ends all terms. Call Leave first to
// hand the duties over. It returns nil.
func (h *Holder) Run(ctx context.Context) error {
	for _, d := range h.duties {
		go d.loop(ctx)
	}
	go h.loop(ctx)
	<-ctx.Done()
	for _, d := range h.duties {
		d.dropTerm()
	}
	return nil
}

// loop regularly queries a member for the owners of duties whose owner is unknown here.
func (h *Holder) loop(ctx context.Context) {
	ticker := time.NewTicker(h.config.Lease / renewalsPerLease / 2)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		h.queryOwners(ctx, turn)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Term returns the term of a duty if this instance holds it and may act under it. Call Check on it
// before every act.
func (h *Holder) Term(name string) (Term, bool) {
	term, ok := h.Held(name)
	if !ok || term.Check() != nil {
		return Term{}, false
	}
	return term, true
}

// Held returns the term of a duty if this instance holds it. Unlike Term it also returns a term
// that refuses acts only because the process was frozen: the holder's state is still valid then,
// since the term continues once it is renewed.
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

// Owner returns the holder of a duty as known here, which may be out of date.
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

// Learn records an owner that became known otherwise, for example from a refusal of an outdated
// epoch.
func (h *Holder) Learn(name string, owner Owner) {
	if d := h.duties[name]; d != nil {
		d.learn(owner, h.config.Now())
	}
}

// Leave hands over all duties and stops claiming. It returns once other instances may claim them,
// or the context ends.
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

// Handlers returns the holder's message handlers by topic.
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

// cachedAlive returns the members that were alive within the last tick. Callers must not modify the
// slice.
func (h *Holder) cachedAlive() []tracker.Member {
	now := h.config.Now()
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.aliveCachedAt.IsZero() || now.Sub(h.aliveCachedAt) >= h.config.Lease/ticksPerLease {
		h.aliveCache, h.aliveCachedAt = h.alive(), now
	}
	return h.aliveCache
}

// selfOwner returns this instance as an owner without an epoch.
func (h *Holder) selfOwner() Owner {
	return Owner{
		Peer:        h.config.SelfPeer,
		Incarnation: h.config.Self.Incarnation,
	}
}

// recordStoreAnswer records that the store answered.
func (h *Holder) recordStoreAnswer(now time.Time) { h.storeAnswered.Store(int64(now.Sub(h.started))) }

// observeEra records an era of the store.
func (h *Holder) observeEra(era uint64, now time.Time) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.eraSince.IsZero() {
		h.firstEra = era
	}
	if era > h.era || h.eraSince.IsZero() {
		h.era, h.eraSince = era, now
	}
}

// foundingEra returns the era of the store in which this instance started.
func (h *Holder) foundingEra() uint64 {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.firstEra
}

// formerEraEnd returns the time from which no lease of a former era of the store still covers a term.
func (h *Holder) formerEraEnd() time.Time {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.eraSince.Add(h.config.Lease)
}

// storeReachable reports whether the store answered this instance recently.
func (h *Holder) storeReachable(now time.Time) bool {
	return now.Sub(h.started)-time.Duration(h.storeAnswered.Load()) < h.config.storeRecency()
}

// newIdentity returns an identity that is unique to one claim.
func (h *Holder) newIdentity() string {
	return h.config.Self.Name + "/" + strconv.FormatUint(h.config.Self.Incarnation, 10) + "/" + rand.Text()
}

// isPreviousIncarnation reports whether an identity was made by a previous incarnation of this instance.
func (h *Holder) isPreviousIncarnation(identity string) bool {
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
