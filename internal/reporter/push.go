package reporter

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/reporter/reporterpb"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
)

const (
	// messageOverhead is the size of a message and its response in addition to the payload,
	// in bytes.
	messageOverhead = 300
	// pushTimeout is the timeout of one message to a peer.
	pushTimeout = time.Second
	// refreshInterval is the age at which an unchanged report is sent to peers again, so that
	// they know, for example, that an engine is still idle.
	refreshInterval = time.Second
)

// push sends each peer the reports that it lacks. Changed shapes are sent at once, changed
// counts only while the budget is positive. A peer that has not answered the previous message is
// skipped.
func (r *Reporter) push(ctx context.Context, members []tracker.Member) {
	if r.config.Call == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refillBudget()
	listed := map[string]bool{}
	affordable := r.budget > 0
	for _, member := range members {
		listed[member.Peer.Name] = true
		p := r.peers[member.Peer.Name]
		if p == nil || p.incarnation != member.Incarnation {
			p = &peer{
				incarnation: member.Incarnation,
				delivered:   map[string]deliveredReport{},
			}
			r.peers[member.Peer.Name] = p
		}
		if p.busy {
			continue
		}
		if message := r.newDelivery(member.Peer, p, affordable); message != nil {
			p.busy = true
			r.budget -= float64(len(message.payload) + messageOverhead)
			go message.run(ctx)
		}
	}
	for name := range r.peers {
		if !listed[name] {
			delete(r.peers, name)
		}
	}
}

// refillBudget adds the budget for the time that has passed, up to one second's worth.
func (r *Reporter) refillBudget() {
	now := r.config.Now()
	if !r.refilled.IsZero() {
		r.budget = min(r.config.PushBytesPerSecond, r.budget+r.config.PushBytesPerSecond*now.Sub(r.refilled).Seconds())
	}
	r.refilled = now
}

// newDelivery returns the message for a peer, or nil if there is nothing to send or only changed
// counts that the budget does not allow.
func (r *Reporter) newDelivery(to messenger.Peer, p *peer, affordable bool) *delivery {
	message := &reporterpb.Push{}
	reports := map[string]deliveredReport{}
	urgent := false
	for name, u := range r.upstreams {
		delivered := p.delivered[name]
		if !u.own.Load() || u.received.IsZero() || !delivered.outdated(u) {
			continue
		}
		urgent = urgent || delivered.digest != u.digest
		message.Loads = append(message.Loads, encode(u, delivered.digest != u.digest))
		reports[name] = deliveredReport{
			changes:  u.changes,
			digest:   u.digest,
			received: u.received,
		}
	}
	if len(message.Loads) == 0 || !urgent && !affordable {
		return nil
	}
	payload, err := proto.Marshal(message)
	if err != nil {
		return nil
	}
	return &delivery{
		reporter: r,
		to:       to,
		peer:     p,
		payload:  payload,
		reports:  reports,
	}
}
