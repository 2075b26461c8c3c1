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

// Tracker keeps the membership. Each failure domain's members are behind a
// lock of their own.
type Tracker struct {
	config Config
	// started is when the tracker was made.
	started time.Time
	joined  atomic.Bool
	rows    *rows
	done    context.Context
	end     context.CancelFunc

	lock    sync.RWMutex
	rosters map[string]*roster

	selfLock sync.Mutex
	self     Member
	// mismatched is since when another instance's view has differed; zero if it does not.
	mismatched time.Time
	// compared is when views were last exchanged.
	compared time.Time
}

// New makes a tracker.
func New(config Config) *Tracker {
	config = config.complete()
	done, end := context.WithCancel(context.Background())
	return &Tracker{
		config:  config,
		done:    done,
		end:     end,
		started: config.Now(),
		rows:    newRows(),
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

// Run sends heartbeats and reads the platform's list until the context ends. It
// returns nil.
func (t *Tracker) Run(ctx context.Context) error {
	defer t.end()
	if t.config.guarding {
		go t.config.Guard.loop(ctx)
	}
	reader := &reader{
		tracker: t,
	}
	go reader.loop(ctx)
	go t.loop(ctx)
	<-ctx.Done()
	return nil
}

func (t *Tracker) loop(ctx context.Context) {
	ticker := time.NewTicker(t.config.Interval)
	defer ticker.Stop()
	mark := t.config.Guard.Mark()
	for tick := 0; ; tick++ {
		now := t.config.Now()
		if mark.Frozen() {
			t.thaw(now)
			mark = t.config.Guard.Mark()
		}
		t.tick(ctx, tick, now)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *Tracker) tick(ctx context.Context, tick int, now time.Time) {
	for _, target := range t.targets(tick, now) {
		b := &beat{
			tracker: t,
			roster:  t.roster(target.Domain),
			member:  target,
		}
		if b.roster.begin(target.Peer.Name) {
			b.roster.try(now)
			go b.run(ctx)
		}
	}
	t.expire(now)
	for _, seed := range t.seeds(tick) {
		e := &enquiry{
			tracker: t,
			peer:    seed,
		}
		go e.run(ctx)
	}
	t.settle(now)
}

func (t *Tracker) expire(now time.Time) {
	for _, r := range t.all() {
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

// thaw starts all silences anew, since nothing could be heard during a freeze,
// and raises the counter, so that this instance joins again.
func (t *Tracker) thaw(now time.Time) {
	for _, r := range t.all() {
		r.restart(now)
	}
	t.selfLock.Lock()
	t.self.Counter++
	t.selfLock.Unlock()
	t.config.Log.WithField("instance", t.config.Self.Name).Warn("member.froze")
}

// settle takes the tracker as joined if nobody can be asked.
func (t *Tracker) settle(now time.Time) {
	if !t.joined.Load() && now.Sub(t.started) > t.config.Death {
		t.joined.Store(true)
	}
}

// Joined tells whether the view was taken over from a member, or nobody answered for long.
func (t *Tracker) Joined() bool { return t.joined.Load() }

// Self returns this instance as it describes itself to others.
func (t *Tracker) Self() Member {
	now := t.config.Now()
	t.selfLock.Lock()
	defer t.selfLock.Unlock()
	self := t.self
	self.Heard = now
	return self
}

// Members returns all known members but this instance, the dead included, by domain and name.
func (t *Tracker) Members() []Member {
	now := t.config.Now()
	var members []Member
	for _, r := range t.all() {
		members = append(members, r.view(t.config, now)...)
	}
	return members
}

// Count is the number of members, as Members returns them.
func (t *Tracker) Count() int {
	count := 0
	for _, r := range t.all() {
		count += r.count()
	}
	return count
}

// Domain returns the members of one failure domain but this instance.
func (t *Tracker) Domain(domain string) []Member {
	t.lock.RLock()
	r := t.rosters[domain]
	t.lock.RUnlock()
	if r == nil {
		return nil
	}
	return r.view(t.config, t.config.Now())
}

// Alive returns the members of one failure domain that are alive, without this instance.
func (t *Tracker) Alive(domain string) []Member {
	return slices.DeleteFunc(t.Domain(domain), func(m Member) bool { return m.State != Alive })
}

// Upstreams returns the engines and services of the last copy of the platform's list.
func (t *Tracker) Upstreams() []storer.Instance { return t.rows.upstreams() }

// Leave announces that this instance shuts down to up to Config.Neighbours
// members of the own domain, and returns once those calls have ended. It returns
// the context's error if that ends before.
func (t *Tracker) Leave(ctx context.Context) error {
	t.selfLock.Lock()
	t.self.State = Leaving
	t.selfLock.Unlock()
	peers := t.Alive(t.config.Self.Domain)
	if len(peers) > t.config.Neighbours {
		peers = peers[:t.config.Neighbours]
	}
	heard := make(chan struct{}, len(peers))
	for _, peer := range peers {
		b := &beat{
			tracker: t,
			roster:  t.roster(peer.Domain),
			member:  peer,
			heard:   heard,
		}
		go b.run(ctx)
	}
	for range peers {
		select {
		case <-heard:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Handlers are the handlers that the tracker needs, by topic.
func (t *Tracker) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		topicHeartbeat: t.handleHeartbeat,
		topicRoster:    t.handleRoster,
		topicRows:      t.handleRows,
	}
}

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

// all returns the rosters by domain name.
func (t *Tracker) all() []*roster {
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
