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

const (
	// maxReadBacks is the number of attempts to read an entry back after a write whose answer was lost.
	maxReadBacks = 3
	// epochBits is the number of low bits of an epoch that count the holdings within an era of the store.
	epochBits = 24
)

// claim is one attempt to gain a duty: it takes the duty's lock under a new lease, writes its
// record with a higher epoch, and waits until no former holder can act.
type claim struct {
	duty     *duty
	config   Config
	identity string
	// record is the duty's record as read from the store, and revision is its revision.
	record   record
	revision storer.Revision
	// lockedByOther is set if the lock belongs to another instance, not to a previous incarnation
	// of this one.
	lockedByOther bool
	// lockRevision is the revision of the lock that is in the store; zero if there is none.
	lockRevision storer.Revision
	// writtenRevision is the revision of the record that this claim wrote; zero before that.
	writtenRevision storer.Revision
	epoch           uint64
	// era is the era of the store in which the lock was written.
	era      uint64
	lease    storer.LeaseID
	deadline time.Time
	renewAt  time.Time
	mark     tracker.Mark
}

// claim tries once to gain the duty. It may take as long as a former holder could still act.
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
		if c.lockedByOther {
			d.delayNextClaim()
		}
		d.log(c.epoch).WithField("error", err).Debug("duty.unclaimed")
		c.releaseLock(ctx)
		if c.writtenRevision != 0 && d.current() == nil {
			// Other instances have already recorded this claim and would wait for this instance.
			d.announceVacancy(ctx, c.epoch)
		}
		return
	}
	metrics.GetOrCreateCounter(`buckthorngap_duty_claims_total{result="done"}`).Inc()
	d.log(state.epoch).Info("duty.gained")
	d.answeredWitnesses = map[string]*witness{}
	d.renewAt, d.extendAt = c.renewAt, time.Time{}
	// The first announcement collects the witnesses' stamps and the second one returns them, which
	// lets the witnesses attest this term.
	d.announce(ctx, state, 0)
	d.announce(ctx, state, 0)
	c.clearFormers(ctx)
}

// delayNextClaim delays the next claim of a duty whose lock belongs to another instance. It applies
// only to an instance that has started within the last lease and therefore does not know yet which
// instances are preferred: the delay grows with the number of listed instances, so that in each
// period about as many of them try as would if they all knew each other.
func (d *duty) delayNextClaim() {
	config := d.holder.config
	if config.Listed == nil {
		return
	}
	period := config.Lease / renewalsPerLease / 2
	next := config.Now().Add(period * time.Duration(max(1, config.Listed()/maxCandidates)))
	if delayEnd := d.holder.started.Add(config.Lease); next.After(delayEnd) {
		next = delayEnd
	}
	if d.claimAt.Before(next) {
		d.claimAt = next
	}
}

// attempt takes the lock, writes the record, waits until no former holder can act and starts the
// term.
func (c *claim) attempt(ctx context.Context) (*termState, error) {
	locked, err := c.read(ctx)
	if err != nil {
		return nil, err
	}
	if locked {
		return nil, &claimFailed{
			reason: "another instance has the lock",
		}
	}
	if !c.startClaiming() {
		return nil, &claimFailed{
			reason: "this instance granted the holder an extension",
		}
	}
	if err := c.write(ctx); err != nil {
		return nil, err
	}
	poll := newFormerHolderPoll(c)
	if err := poll.wait(ctx); err != nil {
		return nil, err
	}
	return c.startTerm()
}

// startClaiming marks this instance as claiming, which keeps it from granting extensions meanwhile.
// It returns false, and marks nothing, while an extension that this instance granted to another
// holder is running.
func (c *claim) startClaiming() bool {
	d := c.duty
	now := c.config.Now()
	d.lock.Lock()
	defer d.lock.Unlock()
	d.claiming = d.term != nil || !now.Before(d.extensionEnd) || c.config.disabled.extensionWait
	return d.claiming
}

// read reads the record and the lock with one call. It reports whether the lock is taken by an
// owner that this instance cannot replace.
func (c *claim) read(ctx context.Context) (locked bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	d, domain := c.duty, c.config.Self.Domain
	entries, err := c.config.Store.List(ctx, prefix(domain, d.name))
	if err != nil {
		return false, err
	}
	d.holder.recordStoreAnswer(c.config.Now())
	for _, entry := range entries {
		switch entry.Key {
		case recordKey(domain, d.name):
			if c.record, err = decodeRecord(entry); err != nil {
				return false, err
			}
			c.revision = entry.Revision
		case lockKey(domain, d.name):
			locked = !c.canTakeOver(entry)
			c.lockedByOther = !d.holder.isPreviousIncarnation(string(entry.Value))
			c.lockRevision = entry.Revision
		}
	}
	if c.record.Epoch > 0 {
		d.learn(c.record.owner(), c.config.Now())
	}
	return locked, nil
}

// canTakeOver reports whether the lock is that of this instance's own last term, whose lease a restored store no longer has,
// or belongs to a previous incarnation of this instance none of whose acts can take effect any more.
func (c *claim) canTakeOver(lock storer.Entry) bool {
	h := c.duty.holder
	if string(lock.Value) == c.duty.lastIdentity {
		return true
	}
	if !c.config.ActsWithinMargin(c.duty.name) || !h.isPreviousIncarnation(string(lock.Value)) {
		return false
	}
	return c.config.Now().Sub(h.started) > c.config.Margin || c.config.disabled.inFlight
}

// write takes the lock under a new lease, then writes the record with the raised epoch.
func (c *claim) write(ctx context.Context) error {
	d, store := c.duty, c.config.Store
	c.mark = c.config.FreezeDetector.Mark()
	before := c.config.Now()
	grantCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := store.Grant(grantCtx, c.config.Lease)
	if err != nil {
		return err
	}
	c.lease = lease.ID
	c.extend(lease, before)
	lock, err := c.swap(ctx, storer.Swap{
		Key:      lockKey(c.config.Self.Domain, d.name),
		Value:    []byte(c.identity),
		Expected: c.lockRevision,
		Lease:    c.lease,
	}, func(value []byte) bool { return string(value) == c.identity })
	if err != nil {
		return err
	}
	c.era = lock.Revision.Era()
	d.holder.observeEra(c.era, c.config.Now())
	next := c.nextRecord()
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	entry, err := c.swap(ctx, storer.Swap{
		Key:      recordKey(c.config.Self.Domain, d.name),
		Value:    value,
		Expected: c.revision,
	}, c.wroteRecord)
	c.writtenRevision = entry.Revision
	if err == nil && entry.Revision.Era() != c.era {
		return &claimFailed{
			reason: "the store was restored without the lock",
		}
	}
	return err
}

// wroteRecord reports whether the value is the record that this claim wrote.
func (c *claim) wroteRecord(value []byte) bool {
	r, err := decodeRecord(storer.Entry{
		Value: value,
	})
	return err == nil && r.Identity == c.identity
}

// nextRecord builds the record of this claim and sets its epoch. The epoch exceeds every epoch that
// is known here, not just the stored one, and every epoch of former eras, since the store may have been restored from an
// older state.
func (c *claim) nextRecord() record {
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
	if !c.config.disabled.eraEpochs {
		c.epoch = max(c.epoch, c.era<<epochBits+1)
	}
	return record{
		Holding:  holdingOf(c.owner()),
		Identity: c.identity,
		Formers:  formers,
	}
}

// recordMayBeOld reports whether the record that was read is of a former era, so that it may lack the latest holders. A term
// of this instance that is still running shows that there were none.
func (c *claim) recordMayBeOld() bool {
	if state := c.duty.current(); state != nil && state.check() == nil {
		return false
	}
	if c.record.Epoch == 0 && c.config.Founding && c.duty.holder.foundingEra() == c.era {
		return false
	}
	return EpochEra(c.record.Epoch) < c.era
}

func (c *claim) owner() Owner {
	owner := c.duty.holder.selfOwner()
	owner.Epoch = c.epoch
	return owner
}

// extend sets the deadline and the time of the next renewal from a lease; before is a time just
// before the lease was requested.
func (c *claim) extend(lease storer.Lease, before time.Time) {
	c.deadline = earlier(lease.Deadline, before.Add(c.config.Lease)).Add(-c.config.Margin)
	c.renewAt = before.Add(c.config.renewalInterval())
}

// renewIfDue renews the lease if that is due. It returns an error only if the lease has lapsed.
func (c *claim) renewIfDue(ctx context.Context) error {
	mark := c.config.FreezeDetector.Mark()
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
		c.extend(lease, before)
	}
	return nil
}

// swap writes an entry. If the answer is lost, it reads the entry back to find out whether the
// write took effect; isOwn reports whether a value is the one written here.
func (c *claim) swap(ctx context.Context, swap storer.Swap, isOwn func(value []byte) bool) (storer.Entry, error) {
	store := c.config.Store
	entry, err := c.withTimeout(ctx, func(ctx context.Context) (storer.Entry, error) { return store.Swap(ctx, swap) })
	var unavailable *storer.Unavailable
	for attempt := 0; errors.As(err, &unavailable) && attempt < maxReadBacks; attempt++ {
		var stored storer.Entry
		stored, readErr := c.withTimeout(ctx, func(ctx context.Context) (storer.Entry, error) { return store.Get(ctx, swap.Key) })
		if readErr == nil && isOwn(stored.Value) {
			return stored, nil
		}
		if readErr == nil && stored.Revision != swap.Expected {
			return storer.Entry{}, &claimFailed{
				reason: "another write came first",
				cause:  err,
			}
		}
	}
	return entry, err
}

// withTimeout makes one call to the store, limited to storeTimeout.
func (c *claim) withTimeout(ctx context.Context, call func(context.Context) (storer.Entry, error)) (storer.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return call(ctx)
}

// startTerm starts the term, unless it is over already or a later claim has become known meanwhile.
func (c *claim) startTerm() (*termState, error) {
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
	if d.owner.Epoch > c.epoch || (d.owner.Epoch == c.epoch && !d.owner.sameHolding(c.owner())) || d.holder.leaving.Load() {
		d.lock.Unlock()
		return nil, &claimFailed{
			reason: "a later claim is known",
		}
	}
	d.lastIdentity = c.identity
	former := d.term
	if former != nil {
		former.end(c.epoch, now)
	}
	d.owner = c.owner()
	d.term = state
	d.lock.Unlock()
	return state, nil
}

// releaseLock revokes the lease of a failed claim, so that other instances need not wait for it to
// lapse.
func (c *claim) releaseLock(ctx context.Context) {
	if c.lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := c.config.Store.Revoke(ctx, c.lease); err != nil {
		c.duty.log(c.epoch).WithField("error", err).Debug("lease.unrevoked")
	}
}

// clearFormers removes the former holders from the stored record, since none of them can act any
// more. If this fails, the next claimant only queries more instances than necessary.
func (c *claim) clearFormers(ctx context.Context) {
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
		Expected: c.writtenRevision,
	})
	if err != nil {
		c.duty.log(c.epoch).WithField("error", err).Debug("duty.unsettled")
	}
}
