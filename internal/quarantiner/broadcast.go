package quarantiner

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/quarantiner/quarantinerpb"
)

const (
	// Topic is the topic of messages about suspects.
	Topic = "quarantine"
	// callTimeout limits a message to one instance.
	callTimeout = time.Second
	// maxCalls limits the messages that are sent at once.
	maxCalls = 32
)

// broadcast passes suspects on to all instances. One that it does not reach learns of them with heartbeats.
type broadcast struct {
	quarantiner *Quarantiner
	payload     []byte
}

func (b *broadcast) run(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxCalls)
	for _, peer := range b.quarantiner.config.Peers() {
		group.Go(func() error {
			b.send(ctx, peer)
			return nil
		})
	}
	_ = group.Wait()
}

// send sends the message to one instance and counts a failure.
func (b *broadcast) send(ctx context.Context, peer messenger.Peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := b.quarantiner.config.Call(ctx, peer, Topic, b.payload); err != nil {
		b.quarantiner.metrics.unsent.Inc()
	}
}

// Handlers returns the handler of other instances' messages, by topic.
func (q *Quarantiner) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		Topic: q.handle,
	}
}

// handle applies what another instance knows. An empty message asks what this one knows.
func (q *Quarantiner) handle(_ context.Context, _ messenger.Sender, payload []byte) ([]byte, error) {
	if len(payload) == 0 {
		return q.Attachment(), nil
	}
	if err := q.merge(payload); err != nil {
		return nil, &messenger.Refused{
			Code:   messenger.CodeMalformed,
			Detail: err.Error(),
		}
	}
	return nil, nil
}

// tell passes suspects on to all instances. The mutex is held.
func (q *Quarantiner) tell(parts map[uint64]bool) {
	if len(parts) > 0 {
		q.broadcast(q.encode(func(s *suspect) bool { return parts[s.part] }))
	}
}

// report passes a crash and the requests that this instance had there on to all instances. The mutex is held.
func (q *Quarantiner) report(record crashRecord, attempts []Attempt) {
	now := q.config.Now()
	sighting := &quarantinerpb.Sighting{
		Crash: record.encode(now),
	}
	for _, attempt := range attempts {
		request := &quarantinerpb.Request{
			Whole:   attempt.Whole,
			SentAge: int64(now.Sub(attempt.Sent)),
		}
		if !attempt.Begun {
			request.Parts = attempt.Parts
		}
		sighting.Requests = append(sighting.Requests, request)
	}
	q.broadcast(q.marshal(&quarantinerpb.Suspects{
		Sightings: []*quarantinerpb.Sighting{sighting},
	}))
}

// broadcast sends a message to all instances, unless too many are waiting.
func (q *Quarantiner) broadcast(payload []byte) {
	select {
	case q.outgoing <- &broadcast{
		quarantiner: q,
		payload:     payload,
	}:
	default:
		q.metrics.dropped.Inc()
	}
}
