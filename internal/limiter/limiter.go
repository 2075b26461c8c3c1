package limiter

import (
	"cmp"
	"context"
	"hash/fnv"
	"hash/maphash"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/limiter/limiterpb"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

const (
	// Topic is the topic of demands.
	Topic = "limit"
	// shardCount is the number of shards of the buckets.
	shardCount = 64
)

// Limiter admits requests within the budgets of their teams.
type Limiter struct {
	config    Config
	rule      rule
	metrics   counts
	seed      maphash.Seed
	shards    [shardCount]shard
	borrowers []*borrower
	lenders   []*lender
	serial    atomic.Uint64
	// beat is when the process was last seen running, in nanoseconds since base.
	beat    atomic.Int64
	base    time.Time
	closing atomic.Bool
	// helped is set while another instance would spend for this one.
	helped atomic.Bool
	// The fields below are for tests that remove a protection or stop the
	// process between the check for a pause and the spending.
	unfenced   bool
	unguarded  bool
	unnumbered bool
	unowed     bool
	// untimely takes gifts of other domains however late.
	untimely bool
	between  func()
}

// shard holds a part of the buckets.
type shard struct {
	mu      sync.RWMutex
	buckets map[string]*bucket
}

// New returns a limiter. Run must be called to let it exchange budgets.
func New(config Config) *Limiter {
	config = withDefaults(config)
	l := &Limiter{
		config:  config,
		rule:    newRule(config),
		metrics: newCounts(),
		seed:    maphash.MakeSeed(),
		base:    config.Now(),
	}
	for i := range l.shards {
		l.shards[i].buckets = make(map[string]*bucket)
	}
	for number := range config.Duties {
		l.prepare(number)
	}
	return l
}

func withDefaults(config Config) Config {
	if config.Now == nil {
		config.Now = time.Now
	}
	config.Duties = max(config.Duties, 1)
	config.Interval = cmp.Or(max(config.Interval, 0), 100*time.Millisecond)
	config.Wait = cmp.Or(max(config.Wait, 0), 20*config.Interval)
	config.Gap = cmp.Or(max(config.Gap, 0), time.Second)
	config.Silence = cmp.Or(max(config.Silence, 0), 10*time.Second)
	return config
}

// Duties returns the names of the duties that instances of a domain hold.
func Duties(count int) []string {
	names := make([]string, max(1, count))
	for number := range names {
		names[number] = duty(number)
	}
	return names
}

func duty(number int) string { return Topic + "/" + strconv.Itoa(number) }

func (l *Limiter) prepare(number int) {
	duty := duty(number)
	now := l.config.Now()
	l.borrowers = append(l.borrowers, &borrower{
		limiter:   l,
		number:    number,
		duty:      duty,
		wake:      make(chan struct{}, 1),
		session:   1,
		confirmed: now,
		alone:     now,
	})
	made := &lender{
		limiter: l,
		number:  number,
		duty:    duty,
		key:     "limits/" + l.config.Domain + "/" + strconv.Itoa(number),
		records: make(map[string]*record),
		pools:   make(map[string]*pool),
	}
	made.seeker = seeker{
		lender:  made,
		holders: make(map[string]string),
	}
	l.lenders = append(l.lenders, made)
}

// Run exchanges budgets until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	if l.rule.lends() {
		for i := range l.borrowers {
			go l.borrowers[i].run(ctx)
			go l.lenders[i].run(ctx)
		}
		go l.look(ctx)
	}
	ticker := time.NewTicker(l.config.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.pulse(l.config.Now())
		}
	}
}

// Handlers returns what answers other instances, by topic.
func (l *Limiter) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		Topic:       l.handle,
		TopicPlea:   l.handlePlea,
		TopicFavour: l.handleFavour,
	}
}

func (l *Limiter) handle(_ context.Context, from messenger.Sender, payload []byte) ([]byte, error) {
	demand := &limiterpb.Demand{}
	if err := proto.Unmarshal(payload, demand); err != nil {
		return nil, &Malformed{
			Cause: err,
		}
	}
	if int(demand.GetDuty()) >= len(l.lenders) || from.Domain != l.config.Domain {
		return nil, &Malformed{}
	}
	grant, err := l.lenders[demand.GetDuty()].serve(from, demand)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(grant)
}

// local calls the instance's own handler.
func (l *Limiter) local(ctx context.Context, _ messenger.Peer, _ string, payload []byte) ([]byte, error) {
	return l.handle(ctx, l.config.Self, payload)
}

// HandBack returns unused budget before the instance ends; later reservations are refused.
func (l *Limiter) HandBack(ctx context.Context) {
	l.closing.Store(true)
	if !l.rule.lends() {
		return
	}
	for _, b := range l.borrowers {
		b.close(ctx)
	}
}

// pulse notes that the process runs and suspends what a pause may have ended.
// It reports whether there was one.
func (l *Limiter) pulse(now time.Time) bool {
	paused := l.paused(now)
	l.beat.Store(int64(now.Sub(l.base)))
	if paused && l.rule.lends() {
		l.metrics.suspended.Inc()
		for _, b := range l.borrowers {
			b.suspend(now)
		}
	}
	return paused
}

// paused reports whether the process stood still for too long.
func (l *Limiter) paused(now time.Time) bool {
	if int64(now.Sub(l.base))-l.beat.Load() > int64(l.config.Gap) {
		return true
	}
	return l.config.Frozen != nil && l.config.Frozen(now)
}

// Reserve spends tokens of a team in advance. It returns a *refuser.Refusal
// if the budget is not there and cannot be there soon.
func (l *Limiter) Reserve(ctx context.Context, ask Ask) (*Reservation, error) {
	r := &Reservation{}
	if err := l.ReserveInto(ctx, r, ask); err != nil {
		return nil, err
	}
	return r, nil
}

// ReserveInto is Reserve with the caller's own storage for the reservation.
func (l *Limiter) ReserveInto(ctx context.Context, r *Reservation, ask Ask) error {
	ask.Tokens = max(ask.Tokens, 0)
	limits, ok := l.config.Team(ask.Team)
	if !ok || l.closing.Load() {
		return l.refuseOther(ok)
	}
	if limits.Unlimited {
		l.metrics.admitted.Inc()
		return nil
	}
	if l.rule.lends() && l.helped.Load() && !l.borrowers[l.duty(ask.Team)].ready() {
		return l.favour(ctx, ask.Team, ask.Tokens)
	}
	now := l.config.Now()
	if l.paused(now) {
		l.pulse(now)
	}
	if l.between != nil {
		l.between()
	}
	b := l.bucket(now, ask.Team)
	if !b.take(now, limits, r, ask) {
		return l.wait(ctx, now, b, r, ask)
	}
	return l.confirm(r, now)
}

// confirm undoes a reservation during which the process was paused, because
// the holder may have given the tokens to others meanwhile.
func (l *Limiter) confirm(r *Reservation, since time.Time) error {
	now := l.config.Now()
	if now.Sub(since) <= l.config.Gap || l.unguarded || !l.rule.lends() {
		l.metrics.admitted.Inc()
		return nil
	}
	l.pulse(now)
	r.Settle(0)
	l.metrics.refused.Inc()
	return refuseRate(now, now.Add(l.config.Interval))
}

func (l *Limiter) refuseOther(known bool) error {
	if known {
		return &refuser.Refusal{
			Code:    refuser.CodeStopping,
			Outcome: refuser.NotRun,
			Detail:  "the instance is shutting down",
			RetryAt: l.config.Now().Add(time.Second),
		}
	}
	return &refuser.Refusal{
		Code:    refuser.CodeForbidden,
		Outcome: refuser.NotRun,
		Detail:  "the team does not exist",
	}
}

// wait lets a reservation wait for a loan that can come in time.
func (l *Limiter) wait(ctx context.Context, now time.Time, b *bucket, r *Reservation, ask Ask) error {
	deadline := now.Add(l.config.Wait)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	w := &waiter{
		into:     r,
		tokens:   ask.Tokens,
		rank:     ask.Rank,
		deadline: deadline,
		answer:   make(chan error, 1),
	}
	if err := b.enqueue(now, w); err != nil {
		l.metrics.refused.Inc()
		return l.truthful(b.team, err)
	}
	if l.rule.lends() {
		l.borrowers[l.duty(b.team)].kick()
	}
	return l.await(ctx, b, w)
}

// await returns the answer to a waiting reservation.
func (l *Limiter) await(ctx context.Context, b *bucket, w *waiter) error {
	timer := time.NewTimer(w.deadline.Sub(l.config.Now()))
	defer timer.Stop()
	var err error
	select {
	case err = <-w.answer:
	case <-timer.C:
		err = l.abandon(b, w)
	case <-ctx.Done():
		err = l.abandon(b, w)
	}
	if err != nil {
		l.metrics.refused.Inc()
		return l.truthful(b.team, err)
	}
	l.metrics.admitted.Inc()
	return nil
}

// abandon ends the wait of a reservation unless it was answered meanwhile.
func (l *Limiter) abandon(b *bucket, w *waiter) error {
	if b.leave(w) {
		now := l.config.Now()
		return refuseRate(now, now.Add(l.config.Interval))
	}
	return <-w.answer
}

// refresh applies the limits in force to a bucket.
func (l *Limiter) refresh(now time.Time, b *bucket) {
	limits, ok := l.config.Team(b.team)
	if !ok {
		limits = configurator.Team{
			Name: b.team,
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(now, limits)
}

// duty is the number of the duty that divides a team's budget.
func (l *Limiter) duty(team string) int {
	if l.config.Duties == 1 {
		return 0
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(team))
	return int(hash.Sum32() % uint32(l.config.Duties))
}

func (l *Limiter) bucket(now time.Time, team string) *bucket {
	part := &l.shards[maphash.String(l.seed, team)%shardCount]
	part.mu.RLock()
	b := part.buckets[team]
	part.mu.RUnlock()
	if b != nil {
		return b
	}
	part.mu.Lock()
	defer part.mu.Unlock()
	if b = part.buckets[team]; b != nil {
		return b
	}
	b = newBucket(now, team, l.rule)
	part.buckets[team] = b
	if l.rule.lends() {
		l.borrowers[l.duty(team)].add(b)
	}
	return b
}

// Ready reports whether the instance may spend budget in every duty, or another
// one spends for it, so that requests are not refused because it has just
// started.
func (l *Limiter) Ready() bool {
	if !l.rule.lends() {
		return true
	}
	return l.recorded() || l.helped.Load()
}

func (l *Limiter) event(name string, fields logrus.Fields) {
	if l.config.Log != nil {
		l.config.Log.WithFields(fields).Info(name)
	}
}
