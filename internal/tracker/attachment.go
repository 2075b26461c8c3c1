package tracker

import (
	"slices"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker/trackerpb"
)

// Attachment is data of another part that travels with heartbeats.
type Attachment struct {
	// Read returns the data for a heartbeat or its answer.
	Read func() []byte
	// Handle receives the data of a peer, unless it is empty.
	Handle func(from messenger.Peer, attachment []byte)
}

// attach adds the attachments to a heartbeat.
func (t *Tracker) attach(message *trackerpb.Heartbeat) {
	for i, attachment := range t.config.Attachments {
		if i == 0 {
			message.Attachment = attachment.Read()
			continue
		}
		message.Further = append(message.Further, attachment.Read())
	}
}

// handleAttachments passes on the attachments of a heartbeat. It ignores those that this instance does not know.
func (t *Tracker) handleAttachments(from messenger.Peer, message *trackerpb.Heartbeat) {
	received := slices.Concat([][]byte{message.GetAttachment()}, message.GetFurther())
	for i, attachment := range t.config.Attachments {
		if i < len(received) && len(received[i]) > 0 {
			attachment.Handle(from, received[i])
		}
	}
}
