package limiter

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/limiter/limiterpb"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// TopicTransfer is the message topic of transfer requests: requests of a duty holder to the holders of other
// failure domains for unused budget. On the wire, the request is a limiterpb.Plea and the answer a
// limiterpb.Gift.
const TopicTransfer = "limit.plea"

// transferRequest is one request to another failure domain and its result.
type transferRequest struct {
	requester *requester
	domain    string
	peer      messenger.Peer
	epoch     uint64
	payload   []byte
	deadline  time.Time
	// holder is the holder of the duty as known after the answer; empty if there was none.
	holder string
	// received are the tokens that the other domain transferred.
	received []*limiterpb.Amount
	done     chan struct{}
}

// run sends the request, follows one redirection to the holder, and credits the transferred tokens.
func (r *transferRequest) run(ctx context.Context) {
	defer close(r.done)
	answer := r.send(ctx)
	if answer.GetHolder() != "" && r.redirect(answer.GetHolder()) {
		answer = r.send(ctx)
	}
	if answer == nil {
		return
	}
	r.holder = answer.GetHolder()
	if r.holder != "" {
		return
	}
	r.holder = r.peer.Name
	r.received = answer.GetAmounts()
	r.requester.lender.acceptTransfer(r.epoch, r.deadline, answer.GetAmounts())
}

// send sends the request and returns the answer, or nil if there is none.
func (r *transferRequest) send(ctx context.Context) *limiterpb.Gift {
	data, err := r.requester.lender.limiter.config.Call(ctx, r.peer, TopicTransfer, r.payload)
	answer := &limiterpb.Gift{}
	if err != nil || proto.Unmarshal(data, answer) != nil {
		return nil
	}
	return answer
}

// redirect sets the peer to the instance that holds the duty. It returns false if that is not a live instance of
// the domain.
func (r *transferRequest) redirect(holder string) bool {
	for _, peer := range r.requester.lender.limiter.alivePeers(r.domain) {
		if peer.Name == holder {
			r.peer = peer
			return true
		}
	}
	return false
}

// handleTransferRequest answers the transfer request of another failure domain.
func (l *Limiter) handleTransferRequest(_ context.Context, _ messenger.Sender, payload []byte) ([]byte, error) {
	received := &limiterpb.Plea{}
	if err := proto.Unmarshal(payload, received); err != nil {
		return nil, &Malformed{
			Cause: err,
		}
	}
	if int(received.GetDuty()) >= len(l.lenders) || !l.rule.buffers() {
		return nil, &Malformed{}
	}
	return proto.Marshal(l.lenders[received.GetDuty()].serveTransfer(received))
}
