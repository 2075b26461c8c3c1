package pacer

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/holder"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/pacer/pacerpb"
)

// Topic is the topic of the messages between pacers.
const Topic = "pace"

// Handlers returns the handlers of messages from other instances, by topic.
func (p *Pacer) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		Topic: p.handleAsk,
	}
}

// handleAsk answers or passes on a request for permits of another instance.
func (p *Pacer) handleAsk(ctx context.Context, _ messenger.Sender, payload []byte) ([]byte, error) {
	message := &pacerpb.Ask{}
	if err := proto.Unmarshal(payload, message); err != nil {
		return nil, &Malformed{
			Cause: err,
		}
	}
	return p.delegator.ServeOrForward(ctx, p.delegate(message))
}

// serve grants permits as the holder of the upstream's duty.
func (p *Pacer) serve(term holder.Fence, message *pacerpb.Ask) ([]byte, error) {
	p.learn(message.GetLimit())
	now := p.config.Now()
	upstream, _ := decodeLimit(message.GetLimit(), now)
	count := int(min(message.GetCount(), maxBatch))
	grant := &pacerpb.Grant{
		Count: uint32(count),
		Limit: message.GetLimit(),
	}
	if g := p.gate(upstream); g != nil {
		known := g.known()
		grant.Limit = known.encode(upstream, now)
		if current := known.effective(now); current.limited {
			granted, wait, err := p.grant(term, upstream, current, count)
			if err != nil {
				return nil, err
			}
			grant.Count = uint32(granted)
			grant.Wait = int64(wait)
		}
	}
	return proto.Marshal(grant)
}
