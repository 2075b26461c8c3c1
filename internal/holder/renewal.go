package holder

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/holder/holderpb"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// witness is a holder's state of one of its witnesses.
type witness struct {
	peer messenger.Peer
	// answered is the time of the last answer.
	answered time.Time
	// stamp is the stamp of the last answer. The next message to the witness echoes it.
	stamp *holderpb.Stamp
}

// maintain renews the lease if that is due, and has the witnesses extend the term while the store
// does not answer.
func (d *duty) maintain(ctx context.Context, state *termState) {
	config := d.holder.config
	if !d.extendAt.IsZero() {
		d.requestExtension(ctx, state)
	}
	now := config.Now()
	if now.Before(d.renewAt) && !state.frozen() {
		return
	}
	err := d.renew(ctx, state)
	now = config.Now()
	var lapsed *storer.Lapsed
	switch {
	case err == nil:
		d.announce(ctx, state, 0)
	case errors.As(err, &lapsed) && d.resume(ctx, state):
		// The next tick renews the lease under its new ID.
		d.renewAt = time.Time{}
		d.wakeUp()
	case errors.As(err, &lapsed):
		// The lease has lapsed, but the witnesses extended the term beyond it. Claim the duty
		// again.
		d.renewAt = now.Add(config.Lease / ticksPerLease)
		d.claim(ctx)
	default:
		d.renewAt = now.Add(config.Lease / renewalsPerLease / 2)
		if d.extendAt.IsZero() && state.remaining(now) < (config.Lease-config.Margin)/2 {
			d.extendAt = now
			d.requestExtension(ctx, state)
		}
	}
}

// resume finds the lease of the running term again in a store that was restored from a copy with the term's lock and record:
// it has another ID there. It returns false if the store has them no longer.
func (d *duty) resume(ctx context.Context, state *termState) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	h := d.holder
	domain := h.config.Self.Domain
	entries, err := h.config.Store.List(ctx, prefix(domain, d.name))
	if err != nil || state.check() != nil {
		return false
	}
	var lease storer.LeaseID
	recorded := false
	for _, entry := range entries {
		switch entry.Key {
		case lockKey(domain, d.name):
			if string(entry.Value) == d.lastIdentity && entry.Lease != state.leaseID() {
				lease = entry.Lease
			}
		case recordKey(domain, d.name):
			stored, err := decodeRecord(entry)
			recorded = err == nil && stored.Identity == d.lastIdentity
		}
	}
	if lease == "" || !recorded {
		return false
	}
	state.setLease(lease)
	d.log(state.epoch).WithField("lease", lease).Info("duty.resumed")
	return true
}

// renew renews the lease. The new deadline counts from before the request was sent.
func (d *duty) renew(ctx context.Context, state *termState) error {
	h := d.holder
	mark := h.config.FreezeDetector.Mark()
	before := h.config.Now()
	timeout := storeTimeout
	if !d.extendAt.IsZero() {
		// While the term depends on extensions, a slow renewal must not delay the next extension.
		timeout = callTimeout / 2
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	lease, err := h.config.Store.Renew(ctx, state.leaseID())
	if err != nil {
		return err
	}
	h.recordStoreAnswer(h.config.Now())
	state.extend(earlier(lease.Deadline, before.Add(h.config.Lease)).Add(-h.config.Margin), mark)
	d.renewAt = before.Add(h.config.renewalInterval())
	d.extendAt = time.Time{}
	return nil
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// requestExtension requests an extension of the term from the witnesses. The term is extended only
// if it has not ended meanwhile, at least one witness grants the extension, and so does every
// witness that answered within the last Config.WitnessTimeout: a claimant may rely on the attestation of any
// of these.
func (d *duty) requestExtension(ctx context.Context, state *termState) {
	config := d.holder.config
	now := config.Now()
	if now.Before(d.extendAt) || state.frozen() {
		return
	}
	state.lock.Lock()
	mark := state.mark
	state.lock.Unlock()
	before := config.Now()
	needed := d.requiredWitnesses(before)
	granted := d.announce(ctx, state, config.Extension)
	enough := len(granted) > 0
	for name := range needed {
		enough = enough && (granted[name] || config.disabled.unanimity)
	}
	if !enough || !state.extend(before.Add(config.Extension-config.Margin), mark) {
		d.extendAt = config.Now()
		return
	}
	d.extendAt = before.Add(config.Extension / renewalsPerLease)
	d.log(state.epoch).Debug("duty.vouched")
}

// requiredWitnesses returns the names of the witnesses that must all grant an extension: those that
// answered within the last Config.WitnessTimeout.
func (d *duty) requiredWitnesses(now time.Time) map[string]bool {
	needed := map[string]bool{}
	for name, w := range d.answeredWitnesses {
		if now.Sub(w.answered) < d.holder.config.WitnessTimeout {
			needed[name] = true
		}
	}
	return needed
}

// announce reports the term to the witnesses, requests an extension of the given length unless that
// is zero, and returns the names of the witnesses that granted it.
func (d *duty) announce(ctx context.Context, state *termState, extension time.Duration) map[string]bool {
	h := d.holder
	owner := h.selfOwner()
	owner.Epoch = state.epoch
	holding := owner.encode(d.name)
	replies := h.callAll(ctx, callTimeout, d.witnessPeers(), topicRenewal, func(peer messenger.Peer) []byte {
		message := &holderpb.Renewal{
			Holding: holding,
			Promise: int64(extension),
		}
		if w := d.answeredWitnesses[peer.Name]; w != nil {
			message.Echo = w.stamp
		}
		return encode(message)
	})
	now := h.config.Now()
	granted := map[string]bool{}
	for _, reply := range replies {
		answer := &holderpb.RenewalAnswer{}
		if err := proto.Unmarshal(reply.answer, answer); err != nil {
			continue
		}
		if newer, ok := decodeOwner(answer.GetNewer()); ok {
			d.learn(newer, now)
			continue
		}
		if d.recordAnswer(reply.peer, answer, now) && answer.GetGranted() {
			granted[reply.peer.Name] = true
		}
	}
	return granted
}

// recordAnswer records a witness's answer and reports whether it counts. A witness that restarted
// has lost its state, including claims that its previous incarnation answered, so it does not count
// while the answers of that incarnation may still be relied on.
func (d *duty) recordAnswer(peer messenger.Peer, answer *holderpb.RenewalAnswer, now time.Time) bool {
	previous := d.answeredWitnesses[peer.Name]
	restarted := previous != nil && previous.stamp.GetIncarnation() != answer.GetStamp().GetIncarnation()
	if restarted && now.Sub(previous.answered) < d.holder.config.WitnessTimeout && !d.holder.config.disabled.witnessRestart {
		return false
	}
	d.answeredWitnesses[peer.Name] = &witness{
		peer:     peer,
		answered: now,
		stamp:    answer.GetStamp(),
	}
	return true
}

// witnessPeers returns the present members most preferred for the duty, which would be the next to
// claim it, and former witnesses that may still attest the end of the term.
func (d *duty) witnessPeers() []messenger.Peer {
	config := d.holder.config
	members := d.holder.members()
	now := config.Now()
	var peers []messenger.Peer
	chosen := map[string]bool{}
	for _, member := range ranked(d.name, members) {
		if len(peers) < config.Witnesses && member.State.Present() {
			peers = append(peers, member.Peer)
			chosen[member.Peer.Name] = true
		}
	}
	for name, w := range d.answeredWitnesses {
		if now.Sub(w.answered) >= config.WitnessTimeout {
			delete(d.answeredWitnesses, name)
		} else if !chosen[name] {
			peers = append(peers, w.peer)
		}
	}
	return peers
}

// encode marshals a message; nil if that fails.
func encode(message proto.Message) []byte {
	data, err := proto.Marshal(message)
	if err != nil {
		return nil
	}
	return data
}
