package spreader

import (
	"context"
	"encoding/json"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/spreader/spreaderpb"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// Handlers returns the handlers of messages from other instances, by topic.
func (s *Spreader) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		topicPush:        s.handlePush,
		topicHead:        s.handleHead,
		topicDocuments:   s.handleDocuments,
		topicWithdrawals: s.handleWithdrawals,
	}
}

// unmarshal decodes the payload of a message.
func unmarshal(payload []byte, into proto.Message, topic string) error {
	if err := proto.Unmarshal(payload, into); err != nil {
		return &badMessage{
			reason: topic,
			cause:  err,
		}
	}
	return nil
}

// handlePush applies a push and relays it concurrently. A push without content, as for an act
// above configurator.MaxActBytes, is applied first, since the instances that it is relayed to
// pull the content from this one.
func (s *Spreader) handlePush(ctx context.Context, from messenger.Sender, payload []byte) ([]byte, error) {
	var push spreaderpb.Push
	if err := unmarshal(payload, &push, topicPush); err != nil {
		return nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	r := &relay{
		spreader: s,
		push:     &push,
		done:     make(chan struct{}),
	}
	withoutContent := len(push.GetChange())+len(push.GetWithdrawals()) == 0
	if !withoutContent {
		go r.run(bounded)
	}
	inForce := s.applyPush(bounded, from, &push)
	if withoutContent {
		go r.run(bounded)
	}
	<-r.done
	answer := &spreaderpb.PushAnswer{
		Reached: r.reached,
	}
	if inForce {
		answer.Reached = append(answer.Reached, s.config.Self.Name)
	}
	return proto.Marshal(answer)
}

// relay forwards a push to the instances that it names.
type relay struct {
	spreader *Spreader
	push     *spreaderpb.Push
	done     chan struct{}
	// reached are the instances where the content is in force; it is valid once done is
	// closed.
	reached []string
}

func (r *relay) run(ctx context.Context) {
	defer close(r.done)
	r.reached = r.spreader.multicast(ctx, r.push, r.push.GetRelay())
}

// applyPush puts the content of a push in force and reports whether it is in force.
func (s *Spreader) applyPush(ctx context.Context, from messenger.Sender, push *spreaderpb.Push) bool {
	if len(push.GetWithdrawals()) > 0 {
		return s.applyWithdrawals(push.GetWithdrawals())
	}
	if s.applyChange(push) {
		return true
	}
	if push.GetSummary().GetRevision() >= s.Current().Revision() {
		if peer, ok := s.member(from.Name); ok {
			_ = s.pullHead(ctx, peer)
		}
	}
	_, known := s.Current().Act(push.GetId())
	return known
}

// applyWithdrawals merges encoded withdrawals, and reports whether they could be decoded.
func (s *Spreader) applyWithdrawals(content []byte) bool {
	withdrawals, err := configurator.NewWithdrawals().Decode(content)
	if err != nil {
		return false
	}
	s.addWithdrawals(withdrawals)
	return true
}

// applyChange applies a pushed change if it is the next one and leads to the sender's digest.
// A change of a revision that is not higher than the current one, and that is not in force here,
// is replayed.
func (s *Spreader) applyChange(push *spreaderpb.Push) bool {
	current := s.Current()
	if _, known := current.Act(push.GetId()); known {
		return true
	}
	var change configurator.Change
	if len(push.GetChange()) == 0 || json.Unmarshal(push.GetChange(), &change) != nil {
		return false
	}
	summary := push.GetSummary()
	if summary.GetRevision() <= current.Revision() {
		s.requestReplay(change)
		return false
	}
	if summary.GetRevision() != current.Revision()+1 {
		return false
	}
	next, err := current.Apply(change)
	if err != nil {
		return false
	}
	digest := next.Digest()
	return string(digest[:summaryDigestBytes]) == string(summary.GetDigest()) && s.install(next, "push")
}

// handleHead returns the summary of the configuration in force, and its head unless the
// request is brief.
func (s *Spreader) handleHead(_ context.Context, _ messenger.Sender, payload []byte) ([]byte, error) {
	var request spreaderpb.HeadRequest
	if err := unmarshal(payload, &request, topicHead); err != nil {
		return nil, err
	}
	answer := &spreaderpb.HeadAnswer{
		Summary: s.currentSummary(),
	}
	if !request.GetBrief() {
		head, err := s.Current().Head().Encode()
		if err != nil {
			return nil, err
		}
		answer.Head = head
	}
	return proto.Marshal(answer)
}

// handleDocuments returns documents of a revision, as many as fit one answer. The peer
// requests the remaining ones again.
func (s *Spreader) handleDocuments(_ context.Context, _ messenger.Sender, payload []byte) ([]byte, error) {
	var request spreaderpb.DocumentsRequest
	if err := unmarshal(payload, &request, topicDocuments); err != nil {
		return nil, err
	}
	snapshot, ok := s.Revision(request.GetRevision())
	if !ok {
		return nil, &badMessage{
			reason: "revision is not kept here",
		}
	}
	answer := &spreaderpb.DocumentsAnswer{}
	length := 0
	for _, name := range request.GetNames() {
		content, err := snapshot.Encode(name)
		if err != nil {
			return nil, err
		}
		answer.Documents = append(answer.Documents, &spreaderpb.Document{
			Name:    name,
			Content: content,
		})
		if length += len(content); length > pageBytes {
			break
		}
	}
	return proto.Marshal(answer)
}

// handleWithdrawals returns the documents of withdrawals that differ from the peer's, as many
// as fit one answer.
func (s *Spreader) handleWithdrawals(_ context.Context, from messenger.Sender, payload []byte) ([]byte, error) {
	var request spreaderpb.WithdrawalsRequest
	if err := unmarshal(payload, &request, topicWithdrawals); err != nil {
		return nil, err
	}
	own := s.Current().Withdrawals()
	theirs := map[string]string{}
	for _, document := range request.GetOwn() {
		theirs[document.GetName()] = string(document.GetDigest())
	}
	answer := &spreaderpb.WithdrawalsAnswer{}
	length := 0
	for _, document := range own.Documents() {
		if theirs[document.Name] == string(document.Digest[:]) || length > pageBytes {
			continue
		}
		content, err := own.Encode(document.Name)
		if err != nil {
			return nil, err
		}
		answer.Documents = append(answer.Documents, &spreaderpb.Document{
			Name:    document.Name,
			Content: content,
		})
		length += len(content)
	}
	return proto.Marshal(answer)
}
