package holder

import (
	"context"
	"sync"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

// release hands one duty over when the instance leaves.
type release struct {
	duty  *duty
	group *sync.WaitGroup
}

// run ends the term, waits until acts in progress have taken effect, revokes the lease and
// announces that the duty is vacant.
func (r *release) run(ctx context.Context) {
	defer r.group.Done()
	d := r.duty
	config := d.holder.config
	state := d.current()
	if state == nil {
		return
	}
	state.end(0, config.Now())
	d.clearTerm(state)
	if !waiter.Pause(ctx, config.Margin) {
		return
	}
	storeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := config.Store.Revoke(storeCtx, state.leaseID()); err != nil {
		d.log(state.epoch).WithField("error", err).Warn("lease.unrevoked")
	}
	d.announceVacancy(ctx, state.epoch)
}

// announceVacancy notifies the failure domain that this instance no longer holds the duty.
func (d *duty) announceVacancy(ctx context.Context, epoch uint64) {
	h := d.holder
	owner := h.selfOwner()
	owner.Epoch = epoch
	owner.vacant = true
	d.learn(owner, h.config.Now())
	payload := encode(owner.encode(d.name))
	h.callAll(ctx, callTimeout, peersOf(h.members()), topicRelease, func(messenger.Peer) []byte { return payload })
}
