package network

import (
	"context"
	"errors"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// unreachable returns the error for a message that was sent but not answered.
func unreachable(to messenger.Peer, cause error) error {
	return &messenger.Unreachable{
		Peer:  to,
		Sent:  true,
		Cause: cause,
	}
}

// delivery is one message in transit and its answer.
type delivery struct {
	network *Network
	from    *Node
	to      messenger.Peer
	topic   string
	payload []byte
	// callerContext is the context of the caller, which ends once the caller has given up.
	callerContext context.Context
	done          chan struct{}
	answer        []byte
	err           error
}

// run delivers the message and its answer. If either is lost, done is never
// closed and the caller waits until its deadline.
func (d *delivery) run(ctx context.Context) {
	n := d.network
	n.lock.Lock()
	node := n.nodes[d.to.Address.String()]
	n.lock.Unlock()
	if node == nil || node.Self.Name != d.to.Name || !n.transfer(d.from.Self.Name, d.to.Name, d.topic, d.payload) {
		return
	}
	node.Gate.Wait()
	if d.callerContext.Err() != nil && !n.late() {
		return
	}
	handler := node.Handlers[d.topic]
	if handler == nil {
		d.err = &messenger.Refused{
			Peer: d.to.Name,
			Code: messenger.CodeTopic,
		}
		close(d.done)
		return
	}
	answer, err := handler(ctx, d.from.Self, d.payload)
	node.Gate.Wait()
	if !n.transfer(d.to.Name, d.from.Self.Name, d.topic, answer) {
		return
	}
	d.answer, d.err = answer, asRefused(d.to.Name, err)
	close(d.done)
}

// asRefused converts a handler's error into the error that the caller of a real messenger receives.
func asRefused(peer string, err error) error {
	if err == nil {
		return nil
	}
	var refusal *messenger.Refused
	if errors.As(err, &refusal) {
		return &messenger.Refused{
			Peer:   peer,
			Code:   refusal.Code,
			Detail: refusal.Detail,
		}
	}
	return &messenger.Refused{
		Peer:   peer,
		Code:   messenger.CodeFailed,
		Detail: err.Error(),
	}
}
