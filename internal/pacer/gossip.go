package pacer

import (
	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/pacer/pacerpb"
)

// maxAttachedLimits bounds the limits in one heartbeat.
const maxAttachedLimits = 64

// Attachment returns the limits that this instance knows of, encoded for its peers. It is sent with each heartbeat and
// empty while no upstream has stated a limit of late.
func (p *Pacer) Attachment() []byte {
	if p.known.Load() == 0 {
		return nil
	}
	now := p.config.Now()
	message := &pacerpb.Limits{}
	for _, g := range p.list() {
		known := g.known()
		if now.Sub(known.at) > limitTTL && !known.cold.holds(now) || len(message.GetLimits()) == maxAttachedLimits {
			continue
		}
		message.Limits = append(message.Limits, known.encode(g.upstream, now))
	}
	encoded, err := proto.Marshal(message)
	if err != nil {
		p.config.Log.WithError(err).Warn("pace.unencoded")
		return nil
	}
	return encoded
}

// HandleAttachment applies the limits in the attachment of a peer's heartbeat or answer.
func (p *Pacer) HandleAttachment(from messenger.Peer, attachment []byte) {
	message := &pacerpb.Limits{}
	if err := proto.Unmarshal(attachment, message); err != nil {
		p.config.Log.WithField("peer", from.Name).WithError(err).Warn("pace.malformed")
		return
	}
	for _, l := range message.GetLimits() {
		p.learn(l)
	}
}
