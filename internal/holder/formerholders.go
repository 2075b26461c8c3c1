package holder

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/holder/holderpb"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

// pollPause is the time between two rounds of queries about former holders.
const pollPause = 250 * time.Millisecond

// formerHolderPoll waits until no former holder of a claimed duty can act any more. In rounds it
// queries members and the former holders themselves.
type formerHolderPoll struct {
	claim   *claim
	formers []*formerHolder
	// notBefore is the earliest time at which the terms of unknown former holders are over; zero if all of them are known.
	notBefore time.Time
	// nextPeers are the members to query again; nil before the first round, which queries all.
	nextPeers []messenger.Peer
}

// formerHolder is a former holder whose term may still be running.
type formerHolder struct {
	owner Owner
	// endsAt is the time from which its term is certainly over; zero while that is unknown.
	endsAt time.Time
	// silentSince is the time since which it has not answered.
	silentSince time.Time
}

func newFormerHolderPoll(c *claim) *formerHolderPoll {
	p := &formerHolderPoll{
		claim: c,
	}
	for _, holding := range c.record.Formers {
		p.formers = append(p.formers, &formerHolder{
			owner: holding.owner(),
		})
	}
	if c.recordMayBeOld() && !c.config.disabled.restoredRecord {
		p.addUnknown()
	}
	return p
}

// addUnknown takes every member for a former holder, because a restored record lacks the holders since the copy.
func (p *formerHolderPoll) addUnknown() {
	h := p.claim.duty.holder
	p.notBefore = h.formerEraEnd()
	for _, peer := range peersOf(h.members()) {
		known := slices.ContainsFunc(p.formers, func(f *formerHolder) bool { return f.owner.Peer.Name == peer.Name })
		if !known {
			p.formers = append(p.formers, &formerHolder{
				owner: Owner{
					Peer: peer,
				},
			})
		}
	}
}

// wait returns nil once every former holder's term is certainly over.
func (p *formerHolderPoll) wait(ctx context.Context) error {
	c := p.claim
	if c.config.disabled.formerHolders {
		return nil
	}
	limit := c.config.Now().Add(2 * c.config.formerHolderTimeout())
	for {
		if err := p.poll(ctx); err != nil {
			return err
		}
		if p.allEnded(c.config.Now()) {
			return nil
		}
		if c.config.Now().After(limit) || c.duty.holder.leaving.Load() {
			return &claimFailed{
				reason: "a former holder may still act",
			}
		}
		if err := c.renewIfDue(ctx); err != nil {
			return err
		}
		if !waiter.Pause(ctx, pollPause) {
			return ctx.Err()
		}
	}
}

// allEnded reports whether every former holder's term is certainly over.
func (p *formerHolderPoll) allEnded(now time.Time) bool {
	if now.Before(p.notBefore) {
		return false
	}
	for _, f := range p.formers {
		if f.endsAt.IsZero() || now.Before(f.endsAt) {
			return false
		}
	}
	return true
}

// poll queries the members and the former holders once and evaluates their answers. It returns an
// error if a later holding is known.
func (p *formerHolderPoll) poll(ctx context.Context) error {
	c := p.claim
	h := c.duty.holder
	message := &holderpb.Claim{
		Holding: c.owner().encode(c.duty.name),
	}
	for _, f := range p.formers {
		if f.owner.Epoch == 0 {
			continue
		}
		message.Formers = append(message.Formers, f.owner.encode(c.duty.name))
	}
	payload := encode(message)
	before := c.config.Now()
	replies := h.callAll(ctx, callTimeout, p.peers(), topicClaim, func(messenger.Peer) []byte { return payload })
	generation := c.config.FreezeDetector.Generation()
	now := c.config.Now()
	answers := map[string]*holderpb.ClaimAnswer{
		h.config.Self.Name: c.duty.witnessClaim(c.owner(), message.GetFormers(), generation, now),
	}
	for _, reply := range replies {
		answer := &holderpb.ClaimAnswer{}
		if err := proto.Unmarshal(reply.answer, answer); err == nil {
			answers[reply.peer.Name] = answer
		}
	}
	for _, answer := range answers {
		if newer, ok := decodeOwner(answer.GetNewer()); ok {
			c.duty.learn(newer, now)
			return &claimFailed{
				reason: "a later holder is known",
			}
		}
	}
	p.applyAnswers(answers, before, now)
	return nil
}

// peers returns all members and former holders in the first round; later the former holders that
// have not answered and the members that may attest the end of their terms.
func (p *formerHolderPoll) peers() []messenger.Peer {
	c := p.claim
	h := c.duty.holder
	peers := p.nextPeers
	if peers == nil {
		peers = peersOf(h.members())
		p.nextPeers = peersOf(ranked(c.duty.name, h.members()))
		p.nextPeers = p.nextPeers[:min(len(p.nextPeers), h.config.Witnesses+1)]
	}
	for _, f := range p.formers {
		known := slices.ContainsFunc(peers, func(peer messenger.Peer) bool { return peer.Name == f.owner.Peer.Name })
		if !known && f.owner.Peer.Name != h.config.Self.Name && f.endsAt.IsZero() {
			peers = append(slices.Clone(peers), f.owner.Peer)
		}
	}
	return peers
}

// applyAnswers updates the ends of the former terms from one round of answers. An attestation
// counts only if no answering instance has an extension in force that it granted.
func (p *formerHolderPoll) applyAnswers(answers map[string]*holderpb.ClaimAnswer, before, now time.Time) {
	c := p.claim
	var extension time.Duration
	attested := map[uint64]bool{}
	for _, answer := range answers {
		extension = max(extension, time.Duration(answer.GetPromise()))
		for _, epoch := range answer.GetWitnessed() {
			attested[epoch] = true
		}
	}
	if c.config.disabled.extensionWait {
		extension = 0
	}
	if end := now.Add(extension); !p.notBefore.IsZero() && end.After(p.notBefore) {
		p.notBefore = end
	}
	for _, f := range p.formers {
		if f.endsAt.IsZero() {
			f.endsAt = p.termEnd(f, answers[f.owner.Peer.Name], attested[f.owner.Epoch] && extension == 0, before, now)
		}
	}
}

// termEnd returns the time from which the former holder's term is certainly over; zero if that is
// unknown.
func (p *formerHolderPoll) termEnd(f *formerHolder, answer *holderpb.ClaimAnswer, attested bool, before, now time.Time) time.Time {
	config := p.claim.config
	if f.owner.Peer.Name == config.Self.Name {
		// A term held by this instance ends when the new one starts.
		return now
	}
	if answer != nil {
		return now.Add(p.remainingTerm(answer))
	}
	if f.silentSince.IsZero() {
		f.silentSince = before
	}
	if attested || now.Sub(f.silentSince) > config.formerHolderTimeout() {
		return now
	}
	return time.Time{}
}

// remainingTerm is how long an act that the answering former holder has checked may still take effect.
func (p *formerHolderPoll) remainingTerm(answer *holderpb.ClaimAnswer) time.Duration {
	if p.claim.config.disabled.extensionWait {
		return 0
	}
	return time.Duration(answer.GetTerm())
}
