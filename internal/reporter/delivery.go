package reporter

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/reporter/reporterpb"
)

// delivery is one message to a peer, and the reports that the peer has once it has answered.
type delivery struct {
	reporter *Reporter
	to       messenger.Peer
	peer     *peer
	payload  []byte
	reports  map[string]deliveredReport
}

// run sends the message and records which reports the peer has received. Shapes that the peer
// lacks are sent with the next message.
func (d *delivery) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	pushedBytes.Add(len(d.payload) + messageOverhead)
	data, err := d.reporter.config.Call(ctx, d.to, TopicReports, d.payload)
	var answer reporterpb.Answer
	if err == nil {
		err = proto.Unmarshal(data, &answer)
	}
	d.reporter.mu.Lock()
	defer d.reporter.mu.Unlock()
	d.peer.busy = false
	if err != nil {
		return
	}
	for name, delivered := range d.reports {
		d.peer.delivered[name] = delivered
	}
	for _, name := range answer.Missing {
		delete(d.peer.delivered, name)
	}
}
