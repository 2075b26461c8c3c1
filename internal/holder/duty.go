package holder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/tracker"
)

// maxCandidates is the number of instances, in order of preference, that try to claim a vacant duty.
const maxCandidates = 4

// duty is this instance's state of one duty: the term if this instance holds it, the last known
// owner, and the extension granted to a holder as its witness.
type duty struct {
	holder *Holder
	name   string
	wake   chan struct{}

	lock sync.Mutex
	// term is the term that this instance holds, or nil.
	term *termState
	// owner is the known holding with the highest epoch.
	owner Owner
	// claiming is set while this instance tries to claim the duty.
	claiming bool
	// extensionEnd is the end of the last extension that this instance granted, as a witness, to a
	// holder. It does not claim the duty before that.
	extensionEnd time.Time
	// attestation covers the latest holding whose end this instance can attest.
	attestation attestation

	// The following fields are used only by the duty's loop.

	// answeredWitnesses holds the witnesses that have answered within Config.WitnessTimeout, by name.
	answeredWitnesses map[string]*witness
	// renewAt is the earliest time of the next renewal.
	renewAt time.Time
	// extendAt is the earliest time of the next request for an extension; zero unless the term
	// needs extensions.
	extendAt time.Time
	// lastIdentity is the identity of the claim that began this instance's last term; empty if there was none.
	lastIdentity string
	// claimAt is the earliest time of the next claim.
	claimAt time.Time
	// vacantSince is when claimIfVacant first found the duty vacant; zero once it found an owner.
	vacantSince time.Time
}

// attestation allows this instance to attest that a holding is over. Until the given time the
// holder cannot obtain an extension without this instance. generation is that of the freeze
// detector when the attestation became valid; a freeze of this process changes it and so invalidates
// the attestation.
type attestation struct {
	owner      Owner
	until      time.Time
	generation uint64
}

func newDuty(h *Holder, name string) *duty {
	return &duty{
		holder:            h,
		name:              name,
		wake:              make(chan struct{}, 1),
		answeredWitnesses: map[string]*witness{},
	}
}

// loop runs tick at regular intervals and whenever the duty is woken, and ends the term with the
// context.
func (d *duty) loop(ctx context.Context) {
	defer d.dropTerm()
	ticker := time.NewTicker(d.holder.config.Lease / ticksPerLease)
	defer ticker.Stop()
	for {
		d.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.wake:
		}
	}
}

// tick maintains the term that is held here, gives up one that has ended, or claims a vacant duty.
func (d *duty) tick(ctx context.Context) {
	if d.holder.leaving.Load() {
		return
	}
	state := d.current()
	if state == nil {
		d.claimIfVacant(ctx)
		return
	}
	err := state.check()
	var frozen *Frozen
	if err == nil || errors.As(err, &frozen) {
		d.maintain(ctx, state)
		return
	}
	d.clearTerm(state)
	d.announceVacancy(ctx, state.epoch)
}

func (d *duty) current() *termState {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.term
}

// clearTerm removes a term that has ended.
func (d *duty) clearTerm(state *termState) {
	d.lock.Lock()
	isCurrent := d.term == state
	if isCurrent {
		d.term = nil
	}
	d.lock.Unlock()
	if !isCurrent {
		return
	}
	d.log(state.epoch).Info("duty.lost")
}

// dropTerm ends the term at once, without handing the duty over.
func (d *duty) dropTerm() {
	if state := d.current(); state != nil {
		state.end(0, d.holder.config.Now())
		d.clearTerm(state)
	}
}

// learn records a holding reported by another instance or by the store, and ends a term held here
// if it is older.
func (d *duty) learn(owner Owner, now time.Time) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.learnLocked(owner, now)
}

// learnLocked is learn for callers that hold the lock.
func (d *duty) learnLocked(owner Owner, now time.Time) {
	if owner.Epoch < d.owner.Epoch || (owner.Epoch == d.owner.Epoch && !owner.sameHolding(d.owner)) {
		return
	}
	if owner.Epoch > d.owner.Epoch {
		d.owner = owner
	}
	d.owner.vacant = d.owner.vacant || owner.vacant
	if d.term != nil && d.term.epoch < owner.Epoch {
		d.term.end(owner.Epoch, now)
	}
	d.wakeUp()
}

// wakeUp makes the loop run its next tick at once.
func (d *duty) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// claimIfVacant claims the duty if it is vacant and this instance is among the preferred
// candidates. Each candidate waits longer than the one preferred to it, so that they do not all
// claim at once.
func (d *duty) claimIfVacant(ctx context.Context) {
	config := d.holder.config
	alive := d.holder.cachedAlive()
	now := config.Now()
	if !d.vacant(alive) {
		d.vacantSince = time.Time{}
		return
	}
	if d.vacantSince.IsZero() {
		d.vacantSince = now
	}
	position := rank(d.name, config.Self.Name, alive)
	if position >= maxCandidates && d.wasOwner() {
		// This instance was the last owner, and others may not know yet that it no longer is: it
		// tries too, after all candidates.
		position = maxCandidates
	} else if position >= maxCandidates {
		return
	}
	wait := time.Duration(position) * config.Lease / renewalsPerLease / 2
	if now.Before(d.vacantSince.Add(wait)) || now.Before(d.claimAt) {
		return
	}
	d.claimAt = now.Add(config.Lease / renewalsPerLease / 2)
	d.claim(ctx)
}

// wasOwner reports whether this instance was the last known owner.
func (d *duty) wasOwner() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.owner.Peer.Name == d.holder.config.Self.Name
}

// vacant reports whether the duty has no known owner, or one that gave it up or does not seem to be
// alive.
func (d *duty) vacant(alive []tracker.Member) bool {
	d.lock.Lock()
	owner := d.owner
	d.lock.Unlock()
	if owner.Epoch == 0 || owner.vacant {
		return true
	}
	for _, member := range alive {
		if member.Peer.Name == owner.Peer.Name && member.Incarnation == owner.Incarnation {
			return false
		}
	}
	return true
}

func (d *duty) log(epoch uint64) *logrus.Entry {
	return d.holder.config.Log.WithFields(logrus.Fields{
		"instance": d.holder.config.Self.Name,
		"duty":     d.name,
		"epoch":    epoch,
	})
}
