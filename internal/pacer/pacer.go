package pacer

import (
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/delegator"
	"github.com/buckthorngap/buckthorngap/internal/holder"
	"github.com/buckthorngap/buckthorngap/internal/pacer/pacerpb"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

const (
	// limitTTL is how long knowledge about a limit is passed on to peers, and kept about upstreams that are no longer
	// listed.
	limitTTL = time.Minute
	// permitPoll is the time between two looks for a permit that is waited for.
	permitPoll = 2 * time.Millisecond
	// expiryInterval is the time between two searches for limits to forget.
	expiryInterval = 10 * time.Second
)

// Pacer keeps this instance's requests within the limits that upstreams state. The holder of an upstream's duty grants
// the permits for the requests of all instances.
type Pacer struct {
	config    Config
	delegator *delegator.Delegator
	metrics   pacerMetrics
	// known is the number of gates, readable without the lock.
	known atomic.Int64
	// done is a context that is cancelled by end when Run returns.
	done context.Context
	end  context.CancelFunc

	mu    sync.RWMutex
	gates map[Upstream]*gate

	// granting guards the fields below, which this instance uses as the holder of duties.
	granting  sync.Mutex
	schedules map[Upstream]*schedule
	// terms holds the last noticed term of each duty, by its index.
	terms map[int]noticedTerm
}

// noticedTerm is a term of a duty with the time when this instance first granted permits in it.
type noticedTerm struct {
	epoch uint64
	at    time.Time
}

// New returns a Pacer that knows no limits.
func New(config Config) *Pacer {
	config = config.withDefaults()
	done, end := context.WithCancel(context.Background())
	return &Pacer{
		config: config,
		delegator: delegator.New(delegator.Config{
			Self:        config.Self,
			Topic:       Topic,
			Term:        config.Term,
			Owner:       config.Owner,
			LiveMembers: config.LiveMembers,
			Call:        config.Call,
		}),
		metrics:   newPacerMetrics(),
		done:      done,
		end:       end,
		gates:     map[Upstream]*gate{},
		schedules: map[Upstream]*schedule{},
		terms:     map[int]noticedTerm{},
	}
}

// Run forgets the limits of upstreams that are gone, until the context ends.
func (p *Pacer) Run(ctx context.Context) {
	defer p.end()
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.expire()
		}
	}
}

// Admit uses a permit for a request to an upstream. If there is none, it asks for one.
func (p *Pacer) Admit(upstream Upstream) Admission {
	g := p.gate(upstream)
	if g == nil {
		return Admitted
	}
	return p.admit(g, false)
}

// AwaitPermit waits for a permit to resume a broken stream at an upstream, ahead of other requests. It returns false if
// the context ends first.
func (p *Pacer) AwaitPermit(ctx context.Context, upstream Upstream) bool {
	g := p.gate(upstream)
	if g == nil {
		return true
	}
	g.addResuming(1)
	defer g.addResuming(-1)
	return waiter.Poll(ctx, permitPoll, func() bool { return p.admit(g, true) == Admitted })
}

// admit uses a permit if there is one, and otherwise asks for one.
func (p *Pacer) admit(g *gate, resumes bool) Admission {
	admission, asks := g.admit(p.config.Now(), resumes)
	if admission == Denied {
		p.metrics.denied.Inc()
	}
	if asks {
		a := &ask{
			pacer: p,
			gate:  g,
		}
		go a.run(p.done)
	}
	return admission
}

// State returns what the limit of an upstream means for this instance's requests.
func (p *Pacer) State(upstream Upstream) State {
	g := p.gate(upstream)
	if g == nil {
		return State{}
	}
	return g.state(p.config.Now())
}

// RetryTime returns when a caller that is refused because of an upstream's limit should come back. Callers that
// are refused one after the other get different times from the given one on.
func (p *Pacer) RetryTime(upstream Upstream, earliest time.Time) time.Time {
	g := p.gate(upstream)
	if g == nil {
		return earliest
	}
	return g.retryTime(earliest)
}

// Observe records what an answer of an upstream to this instance states. A changed limit is reported to the holder of
// the upstream's duty at once.
func (p *Pacer) Observe(upstream Upstream, statement Statement) {
	g := p.gate(upstream)
	if g == nil {
		if !statement.Limited {
			return
		}
		g = p.addGate(upstream)
	}
	if !g.observe(p.config.Now(), statement) {
		return
	}
	p.logChange(g)
	r := &report{
		pacer: p,
		gate:  g,
	}
	go r.run(p.done)
	p.config.Changed()
}

// learn applies what a peer knows of a limit.
func (p *Pacer) learn(message *pacerpb.Limit) {
	upstream, l := decodeLimit(message, p.config.Now())
	if left := l.cold.until.Sub(p.config.Now()); left > 0 && upstream.Name != "" {
		p.ExtendCold(upstream, left, l.cold.rate)
	}
	g := p.gate(upstream)
	if g == nil {
		if !l.limited || upstream.Name == "" {
			return
		}
		g = p.addGate(upstream)
	}
	if g.learn(l) {
		p.logChange(g)
		p.config.Changed()
	}
}

// logChange counts and logs a changed limit.
func (p *Pacer) logChange(g *gate) {
	known := g.known()
	p.metrics.statements.Inc()
	p.config.Log.WithFields(logrus.Fields{
		"upstream": g.upstream.Name,
		"limited":  known.limited,
		"rate":     known.rate,
		"age":      p.config.Now().Sub(known.at).Round(time.Millisecond),
	}).Info("upstream.limit")
}

// CountSent counts a request that is sent to an upstream; repeated is set for a retry.
func (p *Pacer) CountSent(upstream Upstream, repeated bool) {
	g := p.gate(upstream)
	if g == nil || !g.countSent(repeated) {
		return
	}
	if repeated {
		p.metrics.repeated.Inc()
		return
	}
	p.metrics.first.Inc()
}

// grant grants permits under a term, after checking that the term has not ended.
func (p *Pacer) grant(term holder.Fence, upstream Upstream, known limit, count int) (int, time.Duration, error) {
	p.granting.Lock()
	defer p.granting.Unlock()
	now := p.config.Now()
	s := p.schedule(term.Epoch, upstream, known, now)
	if err := term.Check(); err != nil {
		return 0, 0, err
	}
	granted, wait := s.take(now, known, count)
	p.metrics.granted.Add(granted)
	return granted, wait, nil
}

// schedule returns the schedule of an upstream in a term. In a new term, the first permit is due once those of the
// previous holder have expired. The caller holds the lock.
func (p *Pacer) schedule(epoch uint64, upstream Upstream, known limit, now time.Time) *schedule {
	number := p.dutyNumber(upstream)
	noticed := p.terms[number]
	if noticed.epoch != epoch {
		noticed = noticedTerm{
			epoch: epoch,
			at:    now,
		}
		p.terms[number] = noticed
	}
	s := p.schedules[upstream]
	if s == nil || s.epoch != epoch {
		first := noticed.at.Add(permitTTL)
		if first.Before(now) {
			first = now
		}
		s = newSchedule(epoch, first, known)
		p.schedules[upstream] = s
	}
	return s
}

// dutyNumber returns the index of the duty that an upstream belongs to.
func (p *Pacer) dutyNumber(upstream Upstream) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(upstream.Name))
	return int(hash.Sum32() % uint32(len(p.config.Duties)))
}

// gate returns the gate of an upstream, or nil if it has never stated a limit.
func (p *Pacer) gate(upstream Upstream) *gate {
	if p.known.Load() == 0 {
		return nil
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.gates[upstream]
}

// addGate returns the gate of an upstream and creates it if necessary.
func (p *Pacer) addGate(upstream Upstream) *gate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.gates[upstream]; g != nil {
		return g
	}
	g := &gate{
		upstream: upstream,
	}
	p.gates[upstream] = g
	p.known.Store(int64(len(p.gates)))
	return g
}

// list returns all gates.
func (p *Pacer) list() []*gate {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return slices.Collect(maps.Values(p.gates))
}

// expire forgets limits that ended long ago, and those of upstreams that are no longer listed.
func (p *Pacer) expire() {
	now := p.config.Now()
	var gone []Upstream
	for _, g := range p.list() {
		known := g.known()
		if now.Sub(known.at) > limitTTL && !known.cold.holds(now) && (!known.limited || !p.config.Listed(g.upstream)) {
			gone = append(gone, g.upstream)
		}
	}
	p.mu.Lock()
	for _, upstream := range gone {
		delete(p.gates, upstream)
	}
	kept := maps.Clone(p.gates)
	p.known.Store(int64(len(kept)))
	p.mu.Unlock()
	p.granting.Lock()
	defer p.granting.Unlock()
	maps.DeleteFunc(p.schedules, func(upstream Upstream, _ *schedule) bool { return kept[upstream] == nil })
}
