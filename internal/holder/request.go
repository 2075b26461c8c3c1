package holder

import (
	"context"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// request is one message to a peer.
type request struct {
	call    messenger.Caller
	peer    messenger.Peer
	topic   string
	payload []byte
	replies chan<- reply
}

// reply is the answer to a request.
type reply struct {
	peer   messenger.Peer
	answer []byte
	err    error
}

// run sends the message and delivers the reply or the error.
func (r *request) run(ctx context.Context) {
	answer, err := r.call(ctx, r.peer, r.topic, r.payload)
	r.replies <- reply{
		peer:   r.peer,
		answer: answer,
		err:    err,
	}
}

// callAll sends a message to all peers concurrently and returns the answers that arrived within the
// timeout.
func (h *Holder) callAll(ctx context.Context, timeout time.Duration, peers []messenger.Peer, topic string, payload func(messenger.Peer) []byte) []reply {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	incoming := make(chan reply, len(peers))
	for _, peer := range peers {
		r := &request{
			call:    h.config.Call,
			peer:    peer,
			topic:   topic,
			payload: payload(peer),
			replies: incoming,
		}
		go r.run(ctx)
	}
	replies := make([]reply, 0, len(peers))
	for range peers {
		select {
		case received := <-incoming:
			if received.err == nil {
				replies = append(replies, received)
			}
		case <-ctx.Done():
			return replies
		}
	}
	return replies
}
