package limiter

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/limiter/limiterpb"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	pauser "github.com/buckthorngap/buckthorngap/internal/waiter"
)

const (
	// spacing is the part of an interval that passes at least between two demands.
	spacing = 20
	// patience is the number of intervals after which a demand is abandoned.
	patience = 3
	// keepAlive is the part of Silence after which a demand is sent without need.
	keepAlive = 10
)

// borrower exchanges budget with the holder of one duty. It has at most one
// demand under way, so that what an answer lends is counted once.
type borrower struct {
	limiter *Limiter
	number  int
	duty    string
	wake    chan struct{}

	mu      sync.Mutex
	buckets []*bucket
	// epoch is the highest that was asked; a lower one is never asked again.
	epoch    uint64
	session  uint64
	sequence uint64
	// confirmed is when the last accepted demand was sent.
	confirmed time.Time
	// alone is when it was last seen that nobody holds the duty.
	alone time.Time
	// suspended is set from a gap until the holder confirms the reserve.
	suspended bool
	// since is when the latest pause was seen; only a demand that was sent
	// after it can end the suspension.
	since    time.Time
	standing bool
	// admitted is set once a holder has recorded the instance.
	admitted bool
}

// run sends a demand each interval and whenever a request lacks budget.
func (b *borrower) run(ctx context.Context) {
	ticker := time.NewTicker(b.limiter.config.Interval)
	defer ticker.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.tick()
		case <-b.wake:
			if !b.pause(ctx, last) {
				return
			}
		}
		last = b.limiter.config.Now()
		b.exchange(ctx)
	}
}

// pause waits until a demand may follow the last one.
func (b *borrower) pause(ctx context.Context, last time.Time) bool {
	wait := b.limiter.config.Interval/spacing - b.limiter.config.Now().Sub(last)
	if wait <= 0 || !b.limiter.rule.stocks() {
		return true
	}
	return pauser.Pause(ctx, wait)
}

// kick asks for a demand at once.
func (b *borrower) kick() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *borrower) add(bucket *bucket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket.standing = b.standing && !b.suspended
	b.buckets = append(b.buckets, bucket)
}

func (b *borrower) ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.admitted
}

func (b *borrower) tick() {
	now := b.limiter.config.Now()
	for _, bucket := range b.list() {
		bucket.tick(now)
	}
}

func (b *borrower) list() []*bucket {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buckets[:len(b.buckets):len(b.buckets)]
}

// suspend stops the use of loans and reserves after a pause of the process,
// because the holder may have given them to others meanwhile.
func (b *borrower) suspend(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limiter.unguarded {
		return
	}
	b.since = now
	b.suspended = true
	for _, bucket := range b.buckets {
		bucket.suspend()
	}
}

// restart begins a new session. Its caller holds the lock.
func (b *borrower) restart(now time.Time, void bool) {
	b.session++
	b.sequence = 0
	for _, bucket := range b.buckets {
		bucket.forget(void)
		bucket.stand(now, b.standing && !b.suspended)
	}
}

// exchange sends one demand and applies the answer.
func (b *borrower) exchange(ctx context.Context) {
	owner, epoch, ok := b.limiter.config.Owner(b.duty)
	sent := b.limiter.config.Now()
	b.check(sent, ok)
	if !ok {
		return
	}
	demand := b.compose(sent, epoch)
	if demand == nil {
		return
	}
	grant := b.ask(ctx, owner, demand)
	if grant == nil {
		b.repeat(demand)
		return
	}
	b.limiter.pulse(b.limiter.config.Now())
	b.apply(sent, demand, grant)
}

// check suspends the reserve once a holder exists that could not be reached
// for so long that it may give the reserve to others.
func (b *borrower) check(now time.Time, held bool) {
	b.mu.Lock()
	if !held {
		b.alone = now
	}
	lost := held && now.Sub(b.confirmed) > b.limiter.config.Silence/2 &&
		now.Sub(b.alone) > b.limiter.config.Silence/2
	b.mu.Unlock()
	if lost {
		b.suspend(now)
	}
}

// compose builds the next demand, or returns nil if the epoch is an old one.
func (b *borrower) compose(now time.Time, epoch uint64) *limiterpb.Demand {
	closing := b.limiter.closing.Load()
	b.mu.Lock()
	if epoch < b.epoch {
		b.mu.Unlock()
		return nil
	}
	if epoch > b.epoch {
		b.epoch = epoch
		b.restart(now, b.suspended)
	}
	b.sequence++
	due := closing || now.Sub(b.confirmed) > b.limiter.config.Silence/keepAlive || b.suspended || !b.standing
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
		if want := bucket.want(now, closing); want != nil {
			demand.Wants = append(demand.Wants, want)
		}
	}
	if len(demand.Wants) == 0 && !due {
		return nil
	}
	return demand
}

// ask sends a demand. It returns nil if no answer came in time; a later
// answer is never looked at, since every grant counts totals.
func (b *borrower) ask(ctx context.Context, owner messenger.Peer, demand *limiterpb.Demand) *limiterpb.Grant {
	payload, err := proto.Marshal(demand)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, patience*b.limiter.config.Interval)
	defer cancel()
	call := b.limiter.config.Call
	if owner.Name == b.limiter.config.Self.Name {
		call = b.limiter.local
	}
	answer, err := call(ctx, owner, Topic, payload)
	if err != nil {
		b.limiter.metrics.lost.Inc()
		return nil
	}
	grant := &limiterpb.Grant{}
	if err := proto.Unmarshal(answer, grant); err != nil {
		return nil
	}
	return grant
}

// repeat lets the next demand report again what this one could not deliver.
func (b *borrower) repeat(demand *limiterpb.Demand) {
	teams := make(map[string]bool, len(demand.GetWants()))
	for _, want := range demand.GetWants() {
		teams[want.GetTeam()] = true
	}
	for _, bucket := range b.list() {
		if teams[bucket.team] {
			bucket.touch()
		}
	}
}

// apply credits what was lent and learns whether the reserve stands.
func (b *borrower) apply(sent time.Time, demand *limiterpb.Demand, grant *limiterpb.Grant) {
	now := b.limiter.config.Now()
	b.mu.Lock()
	if demand.GetSession() != b.session || demand.GetEpoch() != b.epoch {
		b.mu.Unlock()
		return
	}
	if grant.GetVoid() {
		b.standing = false
		b.restart(now, true)
		b.mu.Unlock()
		return
	}
	if grant.GetMember() {
		b.confirmed = sent
		b.admitted = true
		b.suspended = b.suspended && sent.Before(b.since)
		b.standing = grant.GetReserve()
	}
	suspended, standing := b.suspended, b.standing && !b.suspended
	b.mu.Unlock()
	b.credit(now, suspended, standing, grant)
}

func (b *borrower) credit(now time.Time, suspended, standing bool, grant *limiterpb.Grant) {
	loans := make(map[string]*limiterpb.Loan, len(grant.GetLoans()))
	for _, loan := range grant.GetLoans() {
		loans[loan.GetTeam()] = loan
	}
	for _, bucket := range b.list() {
		if grant.GetMember() && !suspended {
			bucket.resume()
		}
		bucket.stand(now, standing)
		if loan := loans[bucket.team]; loan != nil {
			bucket.credit(now, loan)
		}
	}
}

// close gives everything back and tells the holder that the instance ends.
func (b *borrower) close(ctx context.Context) {
	now := b.limiter.config.Now()
	b.mu.Lock()
	b.standing = false
	b.restart(now, false)
	b.mu.Unlock()
	b.exchange(ctx)
}
