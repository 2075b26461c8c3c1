package holder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/tracker"
)

// candidates is how many instances, by preference, try to claim a vacant duty.
const candidates = 4

// duty is all that this instance knows of one duty.
type duty struct {
	holder *Holder
	name   string
	wake   chan struct{}

	lock sync.Mutex
	// term is held here, or nil.
	term *termState
	// owner is the holding with the highest epoch that was heard of.
	owner Owner
	// claiming is set while this instance tries to claim the duty.
	claiming bool
	// promised is until when this instance vouches for a holder.
	promised time.Time
	witness  witness

	// The following belong to the loop.
	contacts map[string]*contact
	renewAt  time.Time
	vouchAt  time.Time
	claimAt  time.Time
	vacantAt time.Time
}

// witness is the right to testify that a holding is over: until then the
// holder cannot be vouched for without this instance.
type witness struct {
	owner      Owner
	until      time.Time
	generation uint64
}

func newDuty(h *Holder, name string) *duty {
	return &duty{
		holder:   h,
		name:     name,
		wake:     make(chan struct{}, 1),
		contacts: map[string]*contact{},
	}
}

func (d *duty) loop(ctx context.Context) {
	defer d.drop()
	ticker := time.NewTicker(d.holder.config.Lease / ticks)
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

func (d *duty) tick(ctx context.Context) {
	if d.holder.leaving.Load() {
		return
	}
	state := d.current()
	if state == nil {
		d.consider(ctx)
		return
	}
	err := state.check()
	var frozen *Frozen
	if err == nil || errors.As(err, &frozen) {
		d.maintain(ctx, state)
		return
	}
	d.lose(state)
	d.announceVacancy(ctx, state.epoch)
}

func (d *duty) current() *termState {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.term
}

// lose forgets a term that has ended.
func (d *duty) lose(state *termState) {
	d.lock.Lock()
	held := d.term == state
	if held {
		d.term = nil
	}
	d.lock.Unlock()
	if !held {
		return
	}
	d.log(state.epoch).Info("duty.lost")
}

// drop ends the term at once, without a handover.
func (d *duty) drop() {
	if state := d.current(); state != nil {
		state.end(0, d.holder.config.Now())
		d.lose(state)
	}
}

// learn takes news of an owner and ends an own term that is older.
func (d *duty) learn(owner Owner, now time.Time) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.learnLocked(owner, now)
}

func (d *duty) learnLocked(owner Owner, now time.Time) {
	if owner.Epoch < d.owner.Epoch || (owner.Epoch == d.owner.Epoch && !owner.same(d.owner)) {
		return
	}
	if owner.Epoch > d.owner.Epoch {
		d.owner = owner
	}
	d.owner.vacant = d.owner.vacant || owner.vacant
	if d.term != nil && d.term.epoch < owner.Epoch {
		d.term.end(owner.Epoch, now)
	}
	d.stir()
}

// stir lets the loop look at once.
func (d *duty) stir() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// consider claims the duty if it is vacant and this instance is preferred.
func (d *duty) consider(ctx context.Context) {
	config := d.holder.config
	alive := d.holder.recentlyAlive()
	now := config.Now()
	if !d.vacant(alive) {
		d.vacantAt = time.Time{}
		return
	}
	if d.vacantAt.IsZero() {
		d.vacantAt = now
	}
	place := rank(d.name, config.Self.Name, alive)
	if place >= candidates && d.owned() {
		// Others may still take this instance as the owner.
		place = candidates
	} else if place >= candidates {
		return
	}
	wait := time.Duration(place) * config.Lease / renewals / 2
	if now.Before(d.vacantAt.Add(wait)) || now.Before(d.claimAt) {
		return
	}
	d.claimAt = now.Add(config.Lease / renewals / 2)
	d.claim(ctx)
}

// owned tells whether this instance was the last known owner.
func (d *duty) owned() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.owner.Peer.Name == d.holder.config.Self.Name
}

// vacant tells whether the owner is unknown, gone, or thought to be.
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
