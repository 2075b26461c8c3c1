package limiter

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/limiter/limiterpb"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

const (
	// spacingDivisor sets the minimum time between two demands: the interval divided by it.
	spacingDivisor = 20
	// timeoutIntervals is the number of intervals after which a demand is abandoned.
	timeoutIntervals = 3
	// keepAliveDivisor sets after which time without a confirmation the borrower sends a demand even if it needs
	// nothing: SilenceTimeout divided by it.
	keepAliveDivisor = 10
)

// borrower borrows budget from the holder of one duty and returns what it does not need. It has at most one demand
// in flight, so that the loans in an answer are counted once.
type borrower struct {
	limiter *Limiter
	// number is the duty's index within the failure domain, duty its name.
	number int
	duty   string
	// wake makes run send a demand before the interval ends.
	wake chan struct{}

	mu      sync.Mutex
	buckets []*bucket
	// epoch is the highest epoch to which a demand was sent; demands never go to a lower one.
	epoch uint64
	// session and sequence number the demands; a new session starts with empty counters.
	session  uint64
	sequence uint64
	// confirmed is when the last accepted demand was sent.
	confirmed time.Time
	// lastVacant is when the duty was last seen to have no holder.
	lastVacant time.Time
	// suspended is set after a pause of the process or a long time without confirmation, until the holder confirms
	// the loans and the reserve.
	suspended bool
	// pausedAt is when the latest suspension began; only a demand that was sent at or after it can end the
	// suspension.
	pausedAt time.Time
	// hasReserve is set while the holder grants this instance a reserve.
	hasReserve bool
	// registered is set once a holder has recorded the instance as a member.
	registered bool
}

// run sends a demand each interval and whenever a request lacks budget.
func (b *borrower) run(ctx context.Context) {
	ticker := time.NewTicker(b.limiter.config.DemandInterval)
	defer ticker.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.tick()
		case <-b.wake:
			if !b.awaitSpacing(ctx, last) {
				return
			}
		}
		last = b.limiter.config.Now()
		b.exchange(ctx)
	}
}

// awaitSpacing waits until the minimum time since the last demand has passed. It returns false if the context ended
// first.
func (b *borrower) awaitSpacing(ctx context.Context, last time.Time) bool {
	wait := b.limiter.config.DemandInterval/spacingDivisor - b.limiter.config.Now().Sub(last)
	if wait <= 0 || !b.limiter.rule.buffers() {
		return true
	}
	return waiter.Pause(ctx, wait)
}

// requestExchange makes run send a demand at once.
func (b *borrower) requestExchange() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// add registers a new bucket, whose reserve is usable if those of the other buckets are.
func (b *borrower) add(bucket *bucket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket.reserveActive = b.hasReserve && !b.suspended
	b.buckets = append(b.buckets, bucket)
}

// isRegistered reports whether a holder has recorded the instance.
func (b *borrower) isRegistered() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.registered
}

// tick closes an interval in all buckets.
func (b *borrower) tick() {
	now := b.limiter.config.Now()
	for _, bucket := range b.list() {
		bucket.tick(now)
	}
}

// list returns the buckets. Its result is not modified by later calls of add.
func (b *borrower) list() []*bucket {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buckets[:len(b.buckets):len(b.buckets)]
}

// suspend stops the use of loans and reserves, after a pause of the process or a long time without confirmation,
// because the holder may have granted them to others meanwhile.
func (b *borrower) suspend(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limiter.skipPauseCheck {
		return
	}
	b.pausedAt = now
	b.suspended = true
	for _, bucket := range b.buckets {
		bucket.suspend()
	}
}

// restartSession begins a new session; dropLoans discards the loans of the old one. The caller holds the lock.
func (b *borrower) restartSession(now time.Time, dropLoans bool) {
	b.session++
	b.sequence = 0
	for _, bucket := range b.buckets {
		bucket.resetSession(dropLoans)
		bucket.setReserveActive(now, b.hasReserve && !b.suspended)
	}
}

// exchange sends one demand and applies the answer.
func (b *borrower) exchange(ctx context.Context) {
	owner, epoch, ok := b.limiter.config.Owner(b.duty)
	sent := b.limiter.config.Now()
	b.suspendIfUnconfirmed(sent, ok)
	if !ok {
		return
	}
	demand := b.buildDemand(sent, epoch)
	if demand == nil {
		return
	}
	grant := b.send(ctx, owner, demand)
	if grant == nil {
		b.markUndelivered(demand)
		return
	}
	b.limiter.detectPause(b.limiter.config.Now())
	b.apply(sent, demand, grant)
}

// suspendIfUnconfirmed suspends the loans and the reserve if the duty has a holder that this instance could not
// reach for half of SilenceTimeout, since that holder may grant them to others.
func (b *borrower) suspendIfUnconfirmed(now time.Time, hasHolder bool) {
	b.mu.Lock()
	if !hasHolder {
		b.lastVacant = now
	}
	unconfirmed := hasHolder && now.Sub(b.confirmed) > b.limiter.config.SilenceTimeout/2 &&
		now.Sub(b.lastVacant) > b.limiter.config.SilenceTimeout/2
	b.mu.Unlock()
	if unconfirmed {
		b.suspend(now)
	}
}

// buildDemand builds the next demand, or returns nil if the epoch is outdated or there is nothing to report.
func (b *borrower) buildDemand(now time.Time, epoch uint64) *limiterpb.Demand {
	closing := b.limiter.closing.Load()
	b.mu.Lock()
	if epoch < b.epoch {
		b.mu.Unlock()
		return nil
	}
	if epoch > b.epoch {
		b.epoch = epoch
		b.restartSession(now, b.suspended)
	}
	b.sequence++
	due := closing || now.Sub(b.confirmed) > b.limiter.config.SilenceTimeout/keepAliveDivisor || b.suspended || !b.hasReserve
	demand := &limiterpb.Demand{
		Duty:     uint32(b.number),
		Epoch:    epoch,
		Session:  b.session,
		Sequence: b.sequence,
		Leaving:  closing,
	}
	b.mu.Unlock()
	for _, bucket := range b.list() {
		b.limiter.refresh(now, bucket)
		if want := bucket.report(now, closing); want != nil {
			demand.Wants = append(demand.Wants, want)
		}
	}
	if len(demand.Wants) == 0 && !due {
		return nil
	}
	return demand
}

// send sends a demand and returns the answer, or nil if none came in time. A late answer can be ignored,
// since every grant carries totals.
func (b *borrower) send(ctx context.Context, owner messenger.Peer, demand *limiterpb.Demand) *limiterpb.Grant {
	payload, err := proto.Marshal(demand)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutIntervals*b.limiter.config.DemandInterval)
	defer cancel()
	call := b.limiter.config.Call
	if owner.Name == b.limiter.config.Self.Name {
		call = b.limiter.callLocal
	}
	answer, err := call(ctx, owner, Topic, payload)
	if err != nil {
		b.limiter.metrics.demandsLost.Inc()
		return nil
	}
	grant := &limiterpb.Grant{}
	if err := proto.Unmarshal(answer, grant); err != nil {
		return nil
	}
	return grant
}

// markUndelivered makes the next demand repeat the reports of one that got no answer.
func (b *borrower) markUndelivered(demand *limiterpb.Demand) {
	teams := make(map[string]bool, len(demand.GetWants()))
	for _, want := range demand.GetWants() {
		teams[want.GetTeam()] = true
	}
	for _, bucket := range b.list() {
		if teams[bucket.team] {
			bucket.markChanged()
		}
	}
}

// apply credits the loans of a grant and records whether the instance has a reserve.
func (b *borrower) apply(sent time.Time, demand *limiterpb.Demand, grant *limiterpb.Grant) {
	now := b.limiter.config.Now()
	b.mu.Lock()
	if demand.GetSession() != b.session || demand.GetEpoch() != b.epoch {
		b.mu.Unlock()
		return
	}
	if grant.GetVoid() {
		b.hasReserve = false
		b.restartSession(now, true)
		b.mu.Unlock()
		return
	}
	if grant.GetMember() {
		b.confirmed = sent
		b.registered = true
		b.suspended = b.suspended && sent.Before(b.pausedAt)
		b.hasReserve = grant.GetReserve()
	}
	suspended, reserveActive := b.suspended, b.hasReserve && !b.suspended
	b.mu.Unlock()
	b.credit(now, suspended, reserveActive, grant)
}

// credit applies a grant to every bucket.
func (b *borrower) credit(now time.Time, suspended, reserveActive bool, grant *limiterpb.Grant) {
	loans := make(map[string]*limiterpb.Loan, len(grant.GetLoans()))
	for _, loan := range grant.GetLoans() {
		loans[loan.GetTeam()] = loan
	}
	for _, bucket := range b.list() {
		if grant.GetMember() && !suspended {
			bucket.resume()
		}
		bucket.setReserveActive(now, reserveActive)
		if loan := loans[bucket.team]; loan != nil {
			bucket.credit(now, loan)
		}
	}
}

// close returns the unused loans and tells the holder that the instance is shutting down.
func (b *borrower) close(ctx context.Context) {
	now := b.limiter.config.Now()
	b.mu.Lock()
	b.hasReserve = false
	b.restartSession(now, false)
	b.mu.Unlock()
	b.exchange(ctx)
}
