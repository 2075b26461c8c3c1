package spreader

import (
	"context"
	"encoding/json"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/spreader/spreaderpb"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// pullWithdrawals merges the withdrawals of a peer, and pushes to the peer those that it lacks.
func (s *Spreader) pullWithdrawals(ctx context.Context, peer messenger.Peer) error {
	request := &spreaderpb.WithdrawalsRequest{}
	for _, document := range s.Current().Withdrawals().Documents() {
		request.Own = append(request.Own, &spreaderpb.DocumentDigest{
			Name:   document.Name,
			Digest: document.Digest[:],
		})
	}
	var answer spreaderpb.WithdrawalsAnswer
	if err := s.send(ctx, peer, topicWithdrawals, request, &answer); err != nil {
		return err
	}
	theirs := configurator.NewWithdrawals()
	for _, document := range answer.GetDocuments() {
		merged, err := theirs.Decode(document.GetContent())
		if err != nil {
			return err
		}
		theirs = merged
	}
	s.addWithdrawals(theirs)
	return s.pushMissingWithdrawals(ctx, peer, &answer, theirs)
}

// pushMissingWithdrawals pushes to a peer the withdrawals that are missing in the documents that
// it sent. Documents that it did not send are equal on both sides, or did not fit the answer and
// are compared again after the next heartbeat.
func (s *Spreader) pushMissingWithdrawals(
	ctx context.Context, peer messenger.Peer, answer *spreaderpb.WithdrawalsAnswer, theirs *configurator.Withdrawals,
) error {
	own := s.Current().Withdrawals()
	subset := configurator.NewWithdrawals()
	for _, document := range answer.GetDocuments() {
		content, err := own.Encode(document.GetName())
		if err != nil {
			return err
		}
		if subset, err = subset.Decode(content); err != nil {
			return err
		}
	}
	missing := theirs.Missing(subset)
	if len(missing) == 0 {
		return nil
	}
	content, err := json.Marshal(missing)
	if err != nil {
		return err
	}
	return s.send(ctx, peer, topicPush, newPush(s.currentSummary(), "", nil, content), &spreaderpb.PushAnswer{})
}
