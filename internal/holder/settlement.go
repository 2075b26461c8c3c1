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

const settlePause = 250 * time.Millisecond

// settlement waits until no former holder of a claimed duty can act.
type settlement struct {
	claim   *claim
	formers []*former
	// asked are the peers to ask again; nil before the first round.
	asked []messenger.Peer
}

// former is a former holder whose term may not be over.
type former struct {
	owner Owner
	// over is when its term is surely over; zero while that is not known.
	over time.Time
	// silent is since when it gives no answer.
	silent time.Time
}

func newSettlement(c *claim) *settlement {
	s := &settlement{
		claim: c,
	}
	for _, holding := range c.record.Formers {
		s.formers = append(s.formers, &former{
			owner: holding.owner(),
		})
	}
	return s
}

// settle returns nil once every former holder's term is over.
func (s *settlement) settle(ctx context.Context) error {
	c := s.claim
	if c.config.without.former {
		return nil
	}
	limit := c.config.Now().Add(2 * c.config.silence())
	for {
		if err := s.round(ctx); err != nil {
			return err
		}
		if s.settled(c.config.Now()) {
			return nil
		}
		if c.config.Now().After(limit) || c.duty.holder.leaving.Load() {
			return &lost{
				reason: "a former holder may still act",
			}
		}
		if err := c.keep(ctx); err != nil {
			return err
		}
		if !waiter.Pause(ctx, settlePause) {
			return ctx.Err()
		}
	}
}

func (s *settlement) settled(now time.Time) bool {
	for _, f := range s.formers {
		if f.over.IsZero() || now.Before(f.over) {
			return false
		}
	}
	return true
}

// round asks the members and the former holders once, and takes their answers.
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
	replies := h.ask(ctx, callTimeout, s.peers(), topicClaim, func(messenger.Peer) []byte { return payload })
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
			return &lost{
				reason: "a later holder is known",
			}
		}
	}
	s.take(answers, before, now)
	return nil
}

// peers returns all members and former holders in the first round, then those
// former holders that are not settled and those that may testify.
func (s *settlement) peers() []messenger.Peer {
	c := s.claim
	h := c.duty.holder
	peers := s.asked
	if peers == nil {
		peers = peersOf(h.members())
		s.asked = peersOf(ranked(c.duty.name, h.members()))
		s.asked = s.asked[:min(len(s.asked), h.config.Witnesses+1)]
	}
	for _, f := range s.formers {
		known := slices.ContainsFunc(peers, func(p messenger.Peer) bool { return p.Name == f.owner.Peer.Name })
		if !known && f.owner.Peer.Name != h.config.Self.Name && f.over.IsZero() {
			peers = append(slices.Clone(peers), f.owner.Peer)
		}
	}
	return peers
}

// take draws what follows from one round's answers.
func (s *settlement) take(answers map[string]*holderpb.ClaimAnswer, before, now time.Time) {
	c := s.claim
	var promise time.Duration
	witnessed := map[uint64]bool{}
	for _, answer := range answers {
		promise = max(promise, time.Duration(answer.GetPromise()))
		for _, epoch := range answer.GetWitnessed() {
			witnessed[epoch] = true
		}
	}
	if c.config.without.promise {
		promise = 0
	}
	for _, f := range s.formers {
		if f.over.IsZero() {
			f.over = s.end(f, answers[f.owner.Peer.Name], witnessed[f.owner.Epoch] && promise == 0, before, now)
		}
	}
}

// end returns when the former holder's term is surely over; zero if that is
// not known.
func (s *settlement) end(f *former, answer *holderpb.ClaimAnswer, witnessed bool, before, now time.Time) time.Time {
	config := s.claim.config
	if f.owner.Peer.Name == config.Self.Name {
		// An own term ends when the new one begins.
		return now
	}
	if answer != nil {
		return now.Add(s.term(answer))
	}
	if f.silent.IsZero() {
		f.silent = before
	}
	if witnessed || now.Sub(f.silent) > config.silence() {
		return now
	}
	return time.Time{}
}

func (s *settlement) term(answer *holderpb.ClaimAnswer) time.Duration {
	if s.claim.config.without.promise {
		return 0
	}
	return time.Duration(answer.GetTerm())
}
