package holder

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/holder/holderpb"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

const (
	topicRenewal = "dutyrenewal"
	topicClaim   = "dutyclaim"
	topicRelease = "dutyrelease"
	topicDuties  = "duties"
)

// decodeHolding decodes the sender's holding of a duty and finds the duty. It refuses holdings of
// other instances or failure domains.
func (h *Holder) decodeHolding(from messenger.Sender, holding *holderpb.Holding) (*duty, Owner, error) {
	owner, ok := decodeOwner(holding)
	d := h.duties[holding.GetDuty()]
	if !ok || d == nil || owner.Peer.Name != from.Name || owner.Incarnation != from.Incarnation {
		return nil, Owner{}, malformed("holding")
	}
	if from.Domain != h.config.Self.Domain {
		return nil, Owner{}, malformed("failure domain")
	}
	return d, owner, nil
}

// malformed returns the refusal of a message that cannot be decoded.
func malformed(what string) error {
	return &messenger.Refused{
		Code: messenger.CodeMalformed,
		Detail: (&Malformed{
			What: what,
		}).Error(),
	}
}

// handleRenewal answers a holder that announces its term or requests an extension.
func (h *Holder) handleRenewal(_ context.Context, from messenger.Sender, payload []byte) ([]byte, error) {
	message := &holderpb.Renewal{}
	if err := proto.Unmarshal(payload, message); err != nil {
		return nil, malformed("renewal")
	}
	d, owner, err := h.decodeHolding(from, message.GetHolding())
	if err != nil {
		return nil, err
	}
	generation := h.config.FreezeDetector.Generation()
	now := h.config.Now()
	answer := &holderpb.RenewalAnswer{
		Stamp: &holderpb.Stamp{
			Incarnation: h.config.Self.Incarnation,
			Generation:  generation,
			Nanoseconds: int64(now.Sub(h.started)),
		},
	}
	d.witnessRenewal(owner, message, answer, now)
	return proto.Marshal(answer)
}

// witnessRenewal records a holder's term, grants an extension if one is requested and this instance
// neither claims the duty nor reaches the store, and fills in the answer. A holder that echoes the
// stamp of the previous answer proves that it received that answer, so this instance becomes a
// required witness for a while.
func (d *duty) witnessRenewal(owner Owner, message *holderpb.Renewal, answer *holderpb.RenewalAnswer, now time.Time) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.owner.Epoch > owner.Epoch || (d.owner.Epoch == owner.Epoch && (!d.owner.sameHolding(owner) || d.owner.vacant)) {
		answer.Newer = d.owner.encode(d.name)
		return
	}
	d.learnLocked(owner, now)
	echo, stamp := message.GetEcho(), answer.GetStamp()
	if echo != nil && echo.GetIncarnation() == stamp.GetIncarnation() && echo.GetGeneration() == stamp.GetGeneration() {
		d.attestation = attestation{
			owner:      owner,
			until:      d.holder.started.Add(time.Duration(echo.GetNanoseconds()) + d.holder.config.attestationWindow()),
			generation: echo.GetGeneration(),
		}
	}
	extension := min(time.Duration(message.GetPromise()), d.holder.config.Extension)
	if extension <= 0 || d.claiming || d.holder.storeReachable(now) {
		return
	}
	answer.Granted = true
	if until := now.Add(extension); until.After(d.extensionEnd) {
		d.extensionEnd = until
	}
}

// handleClaim answers an instance that claims a duty.
func (h *Holder) handleClaim(_ context.Context, from messenger.Sender, payload []byte) ([]byte, error) {
	message := &holderpb.Claim{}
	if err := proto.Unmarshal(payload, message); err != nil {
		return nil, malformed("claim")
	}
	d, owner, err := h.decodeHolding(from, message.GetHolding())
	if err != nil {
		return nil, err
	}
	generation := h.config.FreezeDetector.Generation()
	now := h.config.Now()
	return proto.Marshal(d.witnessClaim(owner, message.GetFormers(), generation, now))
}

// witnessClaim ends a term held here if the claim supersedes it, and answers with what this
// instance knows of the former holders: the rest of an extension that it granted, the rest of the
// ended term, and the former holdings whose end it attests.
func (d *duty) witnessClaim(owner Owner, formers []*holderpb.Holding, generation uint64, now time.Time) *holderpb.ClaimAnswer {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.owner.Epoch > owner.Epoch || (d.owner.Epoch == owner.Epoch && !d.owner.sameHolding(owner)) {
		return &holderpb.ClaimAnswer{
			Newer: d.owner.encode(d.name),
		}
	}
	answer := &holderpb.ClaimAnswer{
		Promise: int64(max(0, d.extensionEnd.Sub(now))),
	}
	if d.term != nil && d.term.epoch < owner.Epoch {
		answer.Term = int64(d.term.end(owner.Epoch, now))
	}
	for _, holding := range formers {
		former, ok := decodeOwner(holding)
		if ok && d.attests(former, generation, now) {
			answer.Witnessed = append(answer.Witnessed, former.Epoch)
		}
	}
	d.learnLocked(owner, now)
	return answer
}

// attests reports whether the former holder cannot obtain an extension without this instance. The
// lock must be held.
func (d *duty) attests(former Owner, generation uint64, now time.Time) bool {
	return d.attestation.owner.sameHolding(former) && d.attestation.generation == generation && now.Before(d.attestation.until)
}

// handleRelease records that the sender gave a duty up.
func (h *Holder) handleRelease(_ context.Context, from messenger.Sender, payload []byte) ([]byte, error) {
	message := &holderpb.Holding{}
	if err := proto.Unmarshal(payload, message); err != nil {
		return nil, malformed("release")
	}
	d, owner, err := h.decodeHolding(from, message)
	if err != nil {
		return nil, err
	}
	d.learn(owner, h.config.Now())
	return nil, nil
}

// handleDuties answers with all owners known here.
func (h *Holder) handleDuties(context.Context, messenger.Sender, []byte) ([]byte, error) {
	message := &holderpb.Holdings{}
	for name, d := range h.duties {
		d.lock.Lock()
		if d.owner.Epoch > 0 {
			message.Holdings = append(message.Holdings, d.owner.encode(name))
		}
		d.lock.Unlock()
	}
	return proto.Marshal(message)
}

// queryOwners queries one member for all owners if any owner is unknown here. The member differs
// from turn to turn.
func (h *Holder) queryOwners(ctx context.Context, turn int) {
	unknown := false
	for _, d := range h.duties {
		d.lock.Lock()
		unknown = unknown || d.owner.Epoch == 0
		d.lock.Unlock()
	}
	alive := h.alive()
	if !unknown || len(alive) == 0 {
		return
	}
	peer := alive[turn%len(alive)].Peer
	for _, reply := range h.callAll(ctx, callTimeout, []messenger.Peer{peer}, topicDuties, func(messenger.Peer) []byte { return nil }) {
		message := &holderpb.Holdings{}
		if err := proto.Unmarshal(reply.answer, message); err != nil {
			continue
		}
		for _, holding := range message.GetHoldings() {
			if owner, ok := decodeOwner(holding); ok {
				h.Learn(holding.GetDuty(), owner)
			}
		}
	}
}
