package tracker

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Tracker maintains the membership: the members of each failure domain, in a roster with its own
// lock, and this instance's description of itself.
type Tracker struct {
	config Config
	// started is when the tracker was created.
	started time.Time
	joined  atomic.Bool
	list    *listCopy
	// done is a context that is cancelled by end when Run returns.
	done context.Context
	end  context.CancelFunc

	lock    sync.RWMutex
	rosters map[string]*roster

	selfLock sync.Mutex
	self     Member
	// mismatchedSince is when the first digest since the last equal one differed from this
	// instance's; zero if the last one was equal.
	mismatchedSince time.Time
	// lastExchange is when complete views were last exchanged because they differed.
	lastExchange time.Time
}

// New returns a Tracker that knows only this instance.
func New(config Config) *Tracker {
	config = config.complete()
	done, end := context.WithCancel(context.Background())
	return &Tracker{
		config:  config,
		done:    done,
		end:     end,
		started: config.Now(),
		list:    newListCopy(),
		rosters: map[string]*roster{
			config.Self.Domain: newRoster(config.Self.Domain, true),
		},
		self: Member{
			Peer:        config.SelfPeer,
			Domain:      config.Self.Domain,
			Incarnation: config.Self.Incarnation,
			State:       Alive,
		},
	}
}

// Run sends heartbeats and reads the platform's list until the context ends. It returns nil.
func (t *Tracker) Run(ctx context.Context) error {
	defer t.end()
	if t.config.runsFreezeDetector {
		go t.config.FreezeDetector.loop(ctx)
	}
	reader := &listReader{
		tracker: t,
	}
	go reader.loop(ctx)
	go t.loop(ctx)
	<-ctx.Done()
	return nil
}

// loop runs a tick per interval, and handles a freeze of the process before the tick that follows it.
func (t *Tracker) loop(ctx context.Context) {
	ticker := time.NewTicker(t.config.Interval)
	defer ticker.Stop()
	mark := t.config.FreezeDetector.Mark()
	for tick := 0; ; tick++ {
		now := t.config.Now()
		if mark.Frozen() {
			t.recoverFromFreeze(now)
			mark = t.config.FreezeDetector.Mark()
		}
		t.tick(ctx, tick, now)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tick sends the heartbeats that are due, updates the states of silent members and, while joining,
// requests the views of others.
func (t *Tracker) tick(ctx context.Context, tick int, now time.Time) {
	for _, target := range t.targets(tick, now) {
		call := &heartbeatCall{
			tracker: t,
			roster:  t.roster(target.Domain),
			member:  target,
		}
		if call.roster.beginCall(target.Peer.Name) {
			call.roster.recordCall(now)
			go call.run(ctx)
		}
	}
	t.expire(now)
	for _, seed := range t.seeds(tick) {
		e := &viewExchange{
			tracker: t,
			peer:    seed,
		}
		go e.run(ctx)
	}
	t.joinAlone(now)
}

// expire marks silent members as suspect or dead and logs the changes.
func (t *Tracker) expire(now time.Time) {
	for _, r := range t.allRosters() {
		for _, member := range r.expire(t.config, now) {
			t.config.Log.WithFields(logrus.Fields{
				"member":      member.Peer.Name,
				"domain":      member.Domain,
				"incarnation": member.Incarnation,
				"state":       member.State,
			}).Info("member.changed")
		}
	}
}

// recoverFromFreeze restarts the measurement of all silences, since nothing could be received
// during the freeze, and raises the counter, so that this instance counts as alive again even where
// it was declared dead meanwhile.
func (t *Tracker) recoverFromFreeze(now time.Time) {
	for _, r := range t.allRosters() {
		r.restartSilences(now)
	}
	t.selfLock.Lock()
	t.self.Counter++
	t.selfLock.Unlock()
	t.config.Log.WithField("instance", t.config.Self.Name).Warn("member.froze")
}

// joinAlone marks this instance as joined if it obtained no view of a member within DeathTimeout of its start.
func (t *Tracker) joinAlone(now time.Time) {
	if !t.joined.Load() && now.Sub(t.started) > t.config.DeathTimeout {
		t.joined.Store(true)
	}
}

// Joined reports whether this instance has taken over the view of a member, or has stopped waiting
// for one because nobody answered.
func (t *Tracker) Joined() bool { return t.joined.Load() }

// Self returns this instance as it describes itself to others.
func (t *Tracker) Self() Member {
	now := t.config.Now()
	t.selfLock.Lock()
	defer t.selfLock.Unlock()
	self := t.self
	self.LastHeard = now
	return self
}

// Members returns all known members except this instance, including dead ones, by domain and name.
func (t *Tracker) Members() []Member {
	now := t.config.Now()
	var members []Member
	for _, r := range t.allRosters() {
		members = append(members, r.view(t.config, now)...)
	}
	return members
}

// Count returns the number of members that Members returns.
func (t *Tracker) Count() int {
	count := 0
	for _, r := range t.allRosters() {
		count += r.count()
	}
	return count
}

// Domain returns the members of one failure domain except this instance.
func (t *Tracker) Domain(domain string) []Member {
	t.lock.RLock()
	r := t.rosters[domain]
	t.lock.RUnlock()
	if r == nil {
		return nil
	}
	return r.view(t.config, t.config.Now())
}

// Alive returns the alive members of one failure domain except this instance.
func (t *Tracker) Alive(domain string) []Member {
	return slices.DeleteFunc(t.Domain(domain), func(m Member) bool { return m.State != Alive })
}

// Upstreams returns the engines and services in the latest copy of the platform's list.
func (t *Tracker) Upstreams() []storer.Instance { return t.list.upstreams() }

// Leave announces to up to Config.Neighbours members of this instance's domain that it shuts down,
// and returns once those calls have ended. It returns the context's error if the context ends
// first.
func (t *Tracker) Leave(ctx context.Context) error {
	t.selfLock.Lock()
	t.self.State = Leaving
	t.selfLock.Unlock()
	peers := t.Alive(t.config.Self.Domain)
	if len(peers) > t.config.Neighbours {
		peers = peers[:t.config.Neighbours]
	}
	finished := make(chan struct{}, len(peers))
	for _, peer := range peers {
		call := &heartbeatCall{
			tracker:  t,
			roster:   t.roster(peer.Domain),
			member:   peer,
			finished: finished,
		}
		go call.run(ctx)
	}
	for range peers {
		select {
		case <-finished:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Handlers returns the tracker's message handlers by topic.
func (t *Tracker) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		topicHeartbeat: t.handleHeartbeat,
		topicRoster:    t.handleRoster,
		topicRows:      t.handleRows,
	}
}

// roster returns the roster of a domain, which it creates if necessary.
func (t *Tracker) roster(domain string) *roster {
	t.lock.RLock()
	r := t.rosters[domain]
	t.lock.RUnlock()
	if r != nil {
		return r
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.rosters[domain] == nil {
		t.rosters[domain] = newRoster(domain, false)
	}
	return t.rosters[domain]
}

// allRosters returns the rosters by domain name.
func (t *Tracker) allRosters() []*roster {
	t.lock.RLock()
	defer t.lock.RUnlock()
	names := make([]string, 0, len(t.rosters))
	for name := range t.rosters {
		names = append(names, name)
	}
	slices.Sort(names)
	rosters := make([]*roster, 0, len(names))
	for _, name := range names {
		rosters = append(rosters, t.rosters[name])
	}
	return rosters
}
