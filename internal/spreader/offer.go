package spreader

import (
	"context"
	"encoding/json"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/spreader/spreaderpb"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// offerWithdrawals pushes to a peer the withdrawals that are missing in the documents that it
// sent. Documents that it did not send are equal on both sides.
func (s *Spreader) offerWithdrawals(
	ctx context.Context, peer messenger.Peer, answer *spreaderpb.WithdrawalsAnswer, theirs *configurator.Withdrawals,
) error {
	own := s.Current().Withdrawals()
	only := configurator.NewWithdrawals()
	for _, document := range answer.GetDocuments() {
		content, err := own.Encode(document.GetName())
		if err != nil {
			return err
		}
		if only, err = only.Decode(content); err != nil {
			return err
		}
	}
	missing := theirs.Missing(only)
	if len(missing) == 0 {
		return nil
	}
	content, err := json.Marshal(missing)
	if err != nil {
		return err
	}
	return s.send(ctx, peer, topicPush, newPush(s.currentSummary(), "", nil, content), &spreaderpb.PushAnswer{})
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
