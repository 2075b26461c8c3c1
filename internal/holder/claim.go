package holder

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const readBacks = 3

// claim is one attempt to gain a duty.
type claim struct {
	duty     *duty
	config   Config
	identity string
	// record is what the store held before.
	record   record
	revision storer.Revision
	// foreign is set if another instance had the lock, and not a former start of this one.
	foreign bool
	// lock is the revision of a former start's lock; zero if there is none.
	lock storer.Revision
	// written is the revision of the own record.
	written  storer.Revision
	epoch    uint64
	lease    storer.LeaseID
	deadline time.Time
	renewAt  time.Time
	mark     tracker.Mark
}

// claim tries to gain the duty once. It may take as long as a former holder
// could still act.
func (d *duty) claim(ctx context.Context) {
	c := &claim{
		duty:     d,
		config:   d.holder.config,
		identity: d.holder.newIdentity(),
	}
	state, err := c.attempt(ctx)
	d.lock.Lock()
	d.claiming = false
	d.lock.Unlock()
	if err != nil {
		metrics.GetOrCreateCounter(`buckthorngap_duty_claims_total{result="failed"}`).Inc()
		if c.foreign {
			d.yield()
		}
		d.log(c.epoch).WithField("error", err).Debug("duty.unclaimed")
		c.abandon(ctx)
		if c.written != 0 && d.current() == nil {
			// Others were told of the claim and wait for this instance.
			d.announceVacancy(ctx, c.epoch)
		}
		return
	}
	metrics.GetOrCreateCounter(`buckthorngap_duty_claims_total{result="done"}`).Inc()
	d.log(state.epoch).Info("duty.gained")
	d.contacts = map[string]*contact{}
	d.renewAt, d.vouchAt = c.renewAt, time.Time{}
	// The second announcement returns the stamps of the first.
	d.announce(ctx, state, 0)
	d.announce(ctx, state, 0)
	c.settleRecord(ctx)
}

// yield waits before the next try at a duty whose lock another instance has, as
// long as this instance has just started and has not heard who is preferred: in
// each period about as many instances try as would if all had heard of each other.
func (d *duty) yield() {
	config := d.holder.config
	if config.Listed == nil {
		return
	}
	period := config.Lease / renewals / 2
	next := config.Now().Add(period * time.Duration(max(1, config.Listed()/candidates)))
	if settled := d.holder.started.Add(config.Lease); next.After(settled) {
		next = settled
	}
	if d.claimAt.Before(next) {
		d.claimAt = next
	}
}

// attempt writes lock and record, then waits until no former holder can act.
func (c *claim) attempt(ctx context.Context) (*termState, error) {
	locked, err := c.read(ctx)
	if err != nil {
		return nil, err
	}
	if locked {
		return nil, &lost{
			reason: "another instance has the lock",
		}
	}
	if !c.begin() {
		return nil, &lost{
			reason: "this instance vouches for the holder",
		}
	}
	if err := c.write(ctx); err != nil {
		return nil, err
	}
	s := newSettlement(c)
	if err := s.settle(ctx); err != nil {
		return nil, err
	}
	return c.gain()
}

// begin stops this instance from vouching for others, unless it does so now.
func (c *claim) begin() bool {
	d := c.duty
	now := c.config.Now()
	d.lock.Lock()
	defer d.lock.Unlock()
	d.claiming = d.term != nil || !now.Before(d.promised) || c.config.without.promise
	return d.claiming
}

// read reads record and lock in one call.
func (c *claim) read(ctx context.Context) (locked bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	d, domain := c.duty, c.config.Self.Domain
	entries, err := c.config.Store.List(ctx, prefix(domain, d.name))
	if err != nil {
		return false, err
	}
	d.holder.noteStore(c.config.Now())
	for _, entry := range entries {
		switch entry.Key {
		case recordKey(domain, d.name):
			if c.record, err = decodeRecord(entry); err != nil {
				return false, err
			}
			c.revision = entry.Revision
		case lockKey(domain, d.name):
			locked = !c.inherits(entry)
			c.foreign = !d.holder.former(string(entry.Value))
			c.lock = entry.Revision
		}
	}
	if c.record.Epoch > 0 {
		d.learn(c.record.owner(), c.config.Now())
	}
	return locked, nil
}

// inherits tells whether a lock is that of a former start of this instance, of
// whose acts none can take effect any more.
func (c *claim) inherits(lock storer.Entry) bool {
	h := c.duty.holder
	if !c.config.Brief(c.duty.name) || !h.former(string(lock.Value)) {
		return false
	}
	return c.config.Now().Sub(h.started) > c.config.Margin || c.config.without.flight
}

// write takes the lock under a new lease, then raises the epoch in the record.
func (c *claim) write(ctx context.Context) error {
	d, store := c.duty, c.config.Store
	c.mark = c.config.Guard.Mark()
	before := c.config.Now()
	grantCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := store.Grant(grantCtx, c.config.Lease)
	if err != nil {
		return err
	}
	c.lease = lease.ID
	c.prolong(lease, before)
	_, err = c.swap(ctx, storer.Swap{
		Key:      lockKey(c.config.Self.Domain, d.name),
		Value:    []byte(c.identity),
		Expected: c.lock,
		Lease:    c.lease,
	}, func(value []byte) bool { return string(value) == c.identity })
	if err != nil {
		return err
	}
	next := c.next()
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	entry, err := c.swap(ctx, storer.Swap{
		Key:      recordKey(c.config.Self.Domain, d.name),
		Value:    value,
		Expected: c.revision,
	}, c.ours)
	c.written = entry.Revision
	return err
}

func (c *claim) ours(value []byte) bool {
	r, err := decodeRecord(storer.Entry{
		Value: value,
	})
	return err == nil && r.Identity == c.identity
}

// next is the record of the claim. Its epoch is above all that is known, also
// if the store was restored from an older state.
func (c *claim) next() record {
	d := c.duty
	d.lock.Lock()
	known := d.owner
	d.lock.Unlock()
	formers := c.record.formers()
	if known.Epoch > c.record.Epoch {
		formers = append([]Holding{holdingOf(known)}, formers...)
	}
	c.record.Formers = formers
	c.epoch = max(known.Epoch, c.record.Epoch) + 1
	return record{
		Holding:  holdingOf(c.owner()),
		Identity: c.identity,
		Formers:  formers,
	}
}

func (c *claim) owner() Owner {
	owner := c.duty.holder.self()
	owner.Epoch = c.epoch
	return owner
}

func (c *claim) prolong(lease storer.Lease, before time.Time) {
	c.deadline = earlier(lease.Deadline, before.Add(c.config.Lease)).Add(-c.config.Margin)
	c.renewAt = before.Add(c.config.renewal())
}

// keep renews the lease when that is due.
func (c *claim) keep(ctx context.Context) error {
	mark := c.config.Guard.Mark()
	before := c.config.Now()
	if before.Before(c.renewAt) && !c.mark.Frozen() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := c.config.Store.Renew(ctx, c.lease)
	var lapsed *storer.Lapsed
	if errors.As(err, &lapsed) {
		return err
	}
	if err == nil {
		c.mark = mark
		c.prolong(lease, before)
	}
	return nil
}

// swap writes, and reads back if the answer was lost.
func (c *claim) swap(ctx context.Context, swap storer.Swap, ours func(value []byte) bool) (storer.Entry, error) {
	store := c.config.Store
	entry, err := c.timed(ctx, func(ctx context.Context) (storer.Entry, error) { return store.Swap(ctx, swap) })
	var unavailable *storer.Unavailable
	for attempt := 0; errors.As(err, &unavailable) && attempt < readBacks; attempt++ {
		var back storer.Entry
		back, readErr := c.timed(ctx, func(ctx context.Context) (storer.Entry, error) { return store.Get(ctx, swap.Key) })
		if readErr == nil && ours(back.Value) {
			return back, nil
		}
		if readErr == nil && back.Revision != swap.Expected {
			return storer.Entry{}, &lost{
				reason: "another write came first",
				cause:  err,
			}
		}
	}
	return entry, err
}

func (c *claim) timed(ctx context.Context, call func(context.Context) (storer.Entry, error)) (storer.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return call(ctx)
}

// gain makes the term, unless a later claim was heard of meanwhile.
func (c *claim) gain() (*termState, error) {
	d := c.duty
	state := &termState{
		duty:     d.name,
		epoch:    c.epoch,
		config:   c.config,
		lease:    c.lease,
		deadline: c.deadline,
		mark:     c.mark,
	}
	if err := state.check(); err != nil {
		return nil, err
	}
	now := c.config.Now()
	d.lock.Lock()
	if d.owner.Epoch > c.epoch || (d.owner.Epoch == c.epoch && !d.owner.same(c.owner())) || d.holder.leaving.Load() {
		d.lock.Unlock()
		return nil, &lost{
			reason: "a later claim was heard of",
		}
	}
	former := d.term
	if former != nil {
		former.end(c.epoch, now)
	}
	d.owner = c.owner()
	d.term = state
	d.lock.Unlock()
	return state, nil
}

// abandon gives the lock back, so that others need not wait for the lease to lapse.
func (c *claim) abandon(ctx context.Context) {
	if c.lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := c.config.Store.Revoke(ctx, c.lease); err != nil {
		c.duty.log(c.epoch).WithField("error", err).Debug("lease.unrevoked")
	}
}

// settleRecord notes in the store that no former holder can act any more. If
// that fails the next claimant asks about more instances than it needs to.
func (c *claim) settleRecord(ctx context.Context) {
	if len(c.record.Formers) == 0 {
		return
	}
	value, err := json.Marshal(record{
		Holding:  holdingOf(c.owner()),
		Identity: c.identity,
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = c.config.Store.Swap(ctx, storer.Swap{
		Key:      recordKey(c.config.Self.Domain, c.duty.name),
		Value:    value,
		Expected: c.written,
	})
	if err != nil {
		c.duty.log(c.epoch).WithField("error", err).Debug("duty.unsettled")
	}
}
