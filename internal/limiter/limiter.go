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
	// Topic is the message topic of demands.
	Topic = "limit"
	// shardCount is the number of shards of the bucket map, each with its own lock.
	shardCount = 64
)

// Limiter admits requests within the rates and bursts of their teams.
type Limiter struct {
	config    Config
	rule      rule
	metrics   limiterMetrics
	seed      maphash.Seed
	shards    [shardCount]shard
	borrowers []*borrower
	lenders   []*lender
	// serial is the number of the last write of a table.
	serial atomic.Uint64
	// lastRun is when detectPause last ran, in nanoseconds since base.
	lastRun atomic.Int64
	base    time.Time
	closing atomic.Bool
	// delegateFound is set while another instance accepts delegated spending for this one.
	delegateFound atomic.Bool
	// The fields below let tests disable one safeguard each, or pause the process between the check for a
	// pause and the spending.
	skipTermCheck  bool
	skipPauseCheck bool
	acceptStale    bool
	ignoreDebts    bool
	ignoreRestored bool
	// acceptLateTransfers credits transfers of other domains after their deadline.
	acceptLateTransfers bool
	beforeSpend         func()
}

// shard holds a part of the buckets.
type shard struct {
	mu      sync.RWMutex
	buckets map[string]*bucket
}

// New returns a limiter. It lends and borrows only while Run is running.
func New(config Config) *Limiter {
	config = withDefaults(config)
	l := &Limiter{
		config:  config,
		rule:    newRule(config),
		metrics: newLimiterMetrics(),
		seed:    maphash.MakeSeed(),
		base:    config.Now(),
	}
	for i := range l.shards {
		l.shards[i].buckets = make(map[string]*bucket)
	}
	for number := range config.DutyCount {
		l.addDuty(number)
	}
	return l
}

func withDefaults(config Config) Config {
	if config.Now == nil {
		config.Now = time.Now
	}
	config.DutyCount = max(config.DutyCount, 1)
	config.DemandInterval = cmp.Or(max(config.DemandInterval, 0), 100*time.Millisecond)
	config.MaxWait = cmp.Or(max(config.MaxWait, 0), 20*config.DemandInterval)
	config.MaxPause = cmp.Or(max(config.MaxPause, 0), time.Second)
	config.SilenceTimeout = cmp.Or(max(config.SilenceTimeout, 0), 10*time.Second)
	return config
}

// Duties returns the names of a domain's limit duties.
func Duties(count int) []string {
	names := make([]string, max(1, count))
	for number := range names {
		names[number] = dutyName(number)
	}
	return names
}

func dutyName(number int) string { return Topic + "/" + strconv.Itoa(number) }

// addDuty creates the borrower and the lender of a duty.
func (l *Limiter) addDuty(number int) {
	duty := dutyName(number)
	now := l.config.Now()
	l.borrowers = append(l.borrowers, &borrower{
		limiter:    l,
		number:     number,
		duty:       duty,
		wake:       make(chan struct{}, 1),
		session:    1,
		confirmed:  now,
		lastVacant: now,
	})
	dutyLender := &lender{
		limiter: l,
		number:  number,
		duty:    duty,
		key:     "limits/" + l.config.Domain + "/" + strconv.Itoa(number),
		records: make(map[string]*instanceRecord),
		pools:   make(map[string]*pool),
	}
	dutyLender.requester = requester{
		lender:  dutyLender,
		holders: make(map[string]string),
	}
	l.lenders = append(l.lenders, dutyLender)
}

// Run borrows and lends budget until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	if l.rule.lends() {
		for i := range l.borrowers {
			go l.borrowers[i].run(ctx)
			go l.lenders[i].run(ctx)
		}
		go l.findDelegate(ctx)
	}
	ticker := time.NewTicker(l.config.DemandInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.detectPause(l.config.Now())
		}
	}
}

// Handlers returns the handlers of messages from other instances, by topic.
func (l *Limiter) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		Topic:               l.handleDemand,
		TopicTransfer:       l.handleTransferRequest,
		TopicDelegatedSpend: l.handleDelegatedSpend,
	}
}

// handleDemand answers a demand as the holder of its duty.
func (l *Limiter) handleDemand(_ context.Context, from messenger.Sender, payload []byte) ([]byte, error) {
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

// callLocal delivers a demand to the instance's own handler, without the network.
func (l *Limiter) callLocal(ctx context.Context, _ messenger.Peer, _ string, payload []byte) ([]byte, error) {
	return l.handleDemand(ctx, l.config.Self, payload)
}

// ReturnBudget returns unused budget before the instance shuts down; later reservations are refused.
func (l *Limiter) ReturnBudget(ctx context.Context) {
	l.closing.Store(true)
	if !l.rule.lends() {
		return
	}
	for _, b := range l.borrowers {
		b.close(ctx)
	}
}

// detectPause records that the process is running. If it was paused for too long, detectPause suspends all
// borrowers and returns true.
func (l *Limiter) detectPause(now time.Time) bool {
	paused := l.paused(now)
	l.lastRun.Store(int64(now.Sub(l.base)))
	if paused && l.rule.lends() {
		l.metrics.suspended.Inc()
		for _, b := range l.borrowers {
			b.suspend(now)
		}
	}
	return paused
}

// paused reports whether the process was paused for longer than MaxPause or Frozen says so.
func (l *Limiter) paused(now time.Time) bool {
	if int64(now.Sub(l.base))-l.lastRun.Load() > int64(l.config.MaxPause) {
		return true
	}
	return l.config.Frozen != nil && l.config.Frozen(now)
}

// Reserve reserves tokens of a team before they are used. It returns a *refuser.Refusal if they are not
// available and cannot be available in time.
func (l *Limiter) Reserve(ctx context.Context, request Request) (*Reservation, error) {
	r := &Reservation{}
	if err := l.ReserveInto(ctx, r, request); err != nil {
		return nil, err
	}
	return r, nil
}

// ReserveInto is like Reserve but uses the caller's storage for the reservation.
func (l *Limiter) ReserveInto(ctx context.Context, r *Reservation, request Request) error {
	request.Tokens = max(request.Tokens, 0)
	limits, ok := l.config.Team(request.Team)
	if !ok || l.closing.Load() {
		return l.refuseUnavailable(ok)
	}
	if limits.Unlimited {
		l.metrics.admitted.Inc()
		return nil
	}
	if l.rule.lends() && l.delegateFound.Load() && !l.borrowers[l.dutyNumber(request.Team)].isRegistered() {
		return l.reserveThroughPeer(ctx, request.Team, request.Tokens)
	}
	now := l.config.Now()
	if l.paused(now) {
		l.detectPause(now)
	}
	if l.beforeSpend != nil {
		l.beforeSpend()
	}
	b := l.bucket(now, request.Team)
	if !b.take(now, limits, r, request) {
		return l.wait(ctx, now, b, r, request)
	}
	return l.confirm(r, now)
}

// confirm reverts a reservation during which the process was paused, because the holder may have granted the
// tokens to others meanwhile.
func (l *Limiter) confirm(r *Reservation, since time.Time) error {
	now := l.config.Now()
	if now.Sub(since) <= l.config.MaxPause || l.skipPauseCheck || !l.rule.lends() {
		l.metrics.admitted.Inc()
		return nil
	}
	l.detectPause(now)
	r.Settle(0)
	l.metrics.refused.Inc()
	return refuseRate(now, now.Add(l.config.DemandInterval))
}

// refuseUnavailable refuses a request during shutdown or of an unknown team.
func (l *Limiter) refuseUnavailable(teamExists bool) error {
	if teamExists {
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

// wait queues a reservation and waits for a loan, unless the tokens cannot be available in time.
func (l *Limiter) wait(ctx context.Context, now time.Time, b *bucket, r *Reservation, request Request) error {
	deadline := now.Add(l.config.MaxWait)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	w := &queuedReservation{
		reservation: r,
		tokens:      request.Tokens,
		rank:        request.Rank,
		deadline:    deadline,
		answer:      make(chan error, 1),
	}
	if err := b.enqueue(now, w); err != nil {
		l.metrics.refused.Inc()
		return l.correctRefusal(b.team, err)
	}
	if l.rule.lends() {
		l.borrowers[l.dutyNumber(b.team)].requestExchange()
	}
	return l.await(ctx, b, w)
}

// await waits until a queued reservation is granted or refused, or its deadline passes.
func (l *Limiter) await(ctx context.Context, b *bucket, w *queuedReservation) error {
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
		return l.correctRefusal(b.team, err)
	}
	l.metrics.admitted.Inc()
	return nil
}

// abandon removes a reservation from the queue and refuses it, unless it was granted or refused meanwhile.
func (l *Limiter) abandon(b *bucket, w *queuedReservation) error {
	if b.removeQueued(w) {
		now := l.config.Now()
		return refuseRate(now, now.Add(l.config.DemandInterval))
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

// dutyNumber returns the number of the duty that divides a team's budget.
func (l *Limiter) dutyNumber(team string) int {
	if l.config.DutyCount == 1 {
		return 0
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(team))
	return int(hash.Sum32() % uint32(l.config.DutyCount))
}

// bucket returns the bucket of a team and creates it if necessary.
func (l *Limiter) bucket(now time.Time, team string) *bucket {
	s := &l.shards[maphash.String(l.seed, team)%shardCount]
	s.mu.RLock()
	b := s.buckets[team]
	s.mu.RUnlock()
	if b != nil {
		return b
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if b = s.buckets[team]; b != nil {
		return b
	}
	b = newBucket(now, team, l.rule)
	s.buckets[team] = b
	if l.rule.lends() {
		l.borrowers[l.dutyNumber(team)].add(b)
	}
	return b
}

// Ready reports whether the instance may spend budget in every duty, or another instance spends for it, so
// that requests are not refused only because it has just started.
func (l *Limiter) Ready() bool {
	if !l.rule.lends() {
		return true
	}
	return l.registered() || l.delegateFound.Load()
}

// event logs an event.
func (l *Limiter) event(name string, fields logrus.Fields) {
	if l.config.Log != nil {
		l.config.Log.WithFields(fields).Info(name)
	}
}
