package tracker

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker/trackerpb"
)

const (
	topicRoster = "roster"
	// mismatchIntervals is the number of intervals for which the views of all peers that exchange
	// heartbeats with this instance may differ from its own before complete views are exchanged.
	mismatchIntervals = 20
)

// viewExchange exchanges complete views of the membership with a peer.
type viewExchange struct {
	tracker *Tracker
	peer    messenger.Peer
}

// run sends this instance's view, merges the peer's view and marks this instance as joined.
func (e *viewExchange) run(ctx context.Context) {
	t := e.tracker
	ctx, cancel := context.WithTimeout(ctx, t.config.SuspectTimeout)
	defer cancel()
	payload, err := proto.Marshal(t.fullView())
	if err != nil {
		return
	}
	answer, err := t.config.Call(ctx, e.peer, topicRoster, payload)
	if err != nil {
		return
	}
	message := &trackerpb.Roster{}
	if err := proto.Unmarshal(answer, message); err != nil {
		return
	}
	sender, ok := decode(message.GetSender())
	if !ok || sender.Peer.Name != e.peer.Name || sender.Domain == "" {
		return
	}
	t.mergeSender(sender)
	t.mergeAllReported(message.GetMembers())
	t.joined.Store(true)
}

// fullView returns this instance and all members that anybody has heard from.
func (t *Tracker) fullView() *trackerpb.Roster {
	message := &trackerpb.Roster{
		Sender: encode(t.Self()),
	}
	for _, r := range t.allRosters() {
		message.Members = append(message.Members, encodeAll(r.confirmed())...)
	}
	return message
}

// mergeAllReported applies what a member reports about all others.
func (t *Tracker) mergeAllReported(updates []*trackerpb.Update) {
	for _, update := range updates {
		t.mergeReported(update)
	}
}

// handleRoster merges a peer's complete view and answers with that of this instance.
func (t *Tracker) handleRoster(_ context.Context, from messenger.Sender, payload []byte) ([]byte, error) {
	message := &trackerpb.Roster{}
	if err := proto.Unmarshal(payload, message); err != nil {
		return nil, malformed(topicRoster, err)
	}
	sender, ok := decode(message.GetSender())
	if !ok || sender.Incarnation != from.Incarnation || sender.Peer.Name != from.Name || sender.Domain != from.Domain {
		return nil, malformed(topicRoster, nil)
	}
	t.mergeSender(sender)
	t.mergeAllReported(message.GetMembers())
	return proto.Marshal(t.fullView())
}

// confirmed returns all members that any instance has heard from, in contrast to those that are
// only in the platform's list.
func (r *roster) confirmed() []Member {
	r.lock.Lock()
	defer r.lock.Unlock()
	members := make([]Member, 0, len(r.records))
	for _, rec := range r.records {
		if rec.member.Incarnation != 0 {
			members = append(members, rec.member)
		}
	}
	return members
}
