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

// roundPause is the time between two rounds of queries about former holders.
const roundPause = 250 * time.Millisecond

// settlement waits until no former holder of a claimed duty can act any more. In rounds it queries
// members and the former holders themselves.
type settlement struct {
	claim   *claim
	formers []*formerHolder
	// polled are the peers to query again; nil before the first round, which queries all members.
	polled []messenger.Peer
}

// formerHolder is a former holder whose term may still be running.
type formerHolder struct {
	owner Owner
	// endsAt is the time from which its term is certainly over; zero while that is unknown.
	endsAt time.Time
	// silentSince is the time since which it has not answered.
	silentSince time.Time
}

func newSettlement(c *claim) *settlement {
	s := &settlement{
		claim: c,
	}
	for _, holding := range c.record.Formers {
		s.formers = append(s.formers, &formerHolder{
			owner: holding.owner(),
		})
	}
	return s
}

// settle returns nil once every former holder's term is certainly over.
func (s *settlement) settle(ctx context.Context) error {
	c := s.claim
	if c.config.disabled.formerHolders {
		return nil
	}
	limit := c.config.Now().Add(2 * c.config.formerHolderTimeout())
	for {
		if err := s.round(ctx); err != nil {
			return err
		}
		if s.settled(c.config.Now()) {
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
		if !waiter.Pause(ctx, roundPause) {
			return ctx.Err()
		}
	}
}

// settled reports whether every former holder's term is certainly over.
func (s *settlement) settled(now time.Time) bool {
	for _, f := range s.formers {
		if f.endsAt.IsZero() || now.Before(f.endsAt) {
			return false
		}
	}
	return true
}

// round queries the members and the former holders once and evaluates their answers. It returns an
// error if a later holding is known.
func (s *settlement) round(ctx context.Context) error {
	c := s.claim
	h := c.duty.holder
	message := &holderpb.Claim{
		Holding: c.owner().encode(c.duty.name),
	}
	for _, f := range s.formers {
		message.Formers = append(message.Formers, f.owner.encode(c.duty.name))
	}
	payload := encode(message)
	before := c.config.Now()
	replies := h.callAll(ctx, callTimeout, s.peers(), topicClaim, func(messenger.Peer) []byte { return payload })
	generation := c.config.Guard.Generation()
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
	s.applyAnswers(answers, before, now)
	return nil
}

// peers returns all members and former holders in the first round; later the former holders that
// have not answered and the members that may attest the end of their terms.
func (s *settlement) peers() []messenger.Peer {
	c := s.claim
	h := c.duty.holder
	peers := s.polled
	if peers == nil {
		peers = peersOf(h.members())
		s.polled = peersOf(ranked(c.duty.name, h.members()))
		s.polled = s.polled[:min(len(s.polled), h.config.Witnesses+1)]
	}
	for _, f := range s.formers {
		known := slices.ContainsFunc(peers, func(p messenger.Peer) bool { return p.Name == f.owner.Peer.Name })
		if !known && f.owner.Peer.Name != h.config.Self.Name && f.endsAt.IsZero() {
			peers = append(slices.Clone(peers), f.owner.Peer)
		}
	}
	return peers
}

// applyAnswers updates the ends of the former terms from one round of answers. An attestation
// counts only if no answering instance has an extension in force that it granted.
func (s *settlement) applyAnswers(answers map[string]*holderpb.ClaimAnswer, before, now time.Time) {
	c := s.claim
	var promise time.Duration
	witnessed := map[uint64]bool{}
	for _, answer := range answers {
		promise = max(promise, time.Duration(answer.GetPromise()))
		for _, epoch := range answer.GetWitnessed() {
			witnessed[epoch] = true
		}
	}
	if c.config.disabled.promise {
		promise = 0
	}
	for _, f := range s.formers {
		if f.endsAt.IsZero() {
			f.endsAt = s.termEnd(f, answers[f.owner.Peer.Name], witnessed[f.owner.Epoch] && promise == 0, before, now)
		}
	}
}

// termEnd returns the time from which the former holder's term is certainly over; zero if that is
// unknown.
func (s *settlement) termEnd(f *formerHolder, answer *holderpb.ClaimAnswer, witnessed bool, before, now time.Time) time.Time {
	config := s.claim.config
	if f.owner.Peer.Name == config.Self.Name {
		// A term held by this instance ends when the new one starts.
		return now
	}
	if answer != nil {
		return now.Add(s.remainingTerm(answer))
	}
	if f.silentSince.IsZero() {
		f.silentSince = before
	}
	if witnessed || now.Sub(f.silentSince) > config.formerHolderTimeout() {
		return now
	}
	return time.Time{}
}

// remainingTerm is how long an act that the answering former holder has checked may still take effect.
func (s *settlement) remainingTerm(answer *holderpb.ClaimAnswer) time.Duration {
	if s.claim.config.disabled.promise {
		return 0
	}
	return time.Duration(answer.GetTerm())
}
