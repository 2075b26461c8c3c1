package spreader

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/spreader/spreaderpb"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// newPush returns the message of an act or of withdrawals.
func newPush(summary *spreaderpb.Summary, id string, change, withdrawals []byte) *spreaderpb.Push {
	return &spreaderpb.Push{
		Summary:     summary,
		Id:          id,
		Change:      change,
		Withdrawals: withdrawals,
	}
}

// pushAct pushes an accepted act to all instances. An act above configurator.MaxActBytes is pushed
// without its operations, and its receivers pull the documents.
func (s *Spreader) pushAct(ctx context.Context, change configurator.Change, receipt *Receipt) {
	content, err := json.Marshal(change)
	if err != nil || len(content) > configurator.MaxActBytes {
		content = nil
	}
	if _, known := s.Current().Act(change.ID); known {
		receipt.InForce = 1
	}
	s.push(ctx, newPush(s.currentSummary(), change.ID, content, nil), receipt)
}

// push sends a message to all other instances, and records in the receipt which of them have its
// content in force.
func (s *Spreader) push(ctx context.Context, push *spreaderpb.Push, receipt *Receipt) {
	targets := s.targets()
	bounded, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	reached := s.multicast(bounded, push, targets)
	receipt.Members = 1 + len(targets)
	for _, target := range targets {
		if slices.Contains(reached, target.GetName()) {
			receipt.InForce++
		} else {
			receipt.Missing = append(receipt.Missing, target.GetName())
		}
	}
}

// others returns the members that are not known to be dead, without this instance.
func (s *Spreader) others() []tracker.Member {
	var others []tracker.Member
	for _, member := range s.config.Members() {
		if member.Peer.Name != s.config.Self.Name && member.State != tracker.Dead {
			others = append(others, member)
		}
	}
	return others
}

// member returns the peer with the given name, if it is a known member.
func (s *Spreader) member(name string) (messenger.Peer, bool) {
	for _, member := range s.config.Members() {
		if member.Peer.Name == name {
			return member.Peer, true
		}
	}
	return messenger.Peer{}, false
}

// targets returns the other instances to push to. Those of one domain are adjacent so that few
// messages cross domains; the order is random otherwise, so that relaying is not always done
// by the same instances.
func (s *Spreader) targets() []*spreaderpb.Target {
	others := s.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	slices.SortStableFunc(others, func(a, b tracker.Member) int { return cmp.Compare(a.Domain, b.Domain) })
	var targets []*spreaderpb.Target
	for _, member := range others {
		targets = append(targets, &spreaderpb.Target{
			Name:    member.Peer.Name,
			Address: member.Peer.Address.String(),
		})
	}
	return targets
}

// send calls one peer with a protobuf message and decodes its answer.
func (s *Spreader) send(ctx context.Context, peer messenger.Peer, topic string, request, answer proto.Message) error {
	payload, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	received, err := s.config.Call(ctx, peer, topic, payload)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(received, answer); err != nil {
		return &badMessage{
			reason: topic,
			cause:  err,
		}
	}
	return nil
}
