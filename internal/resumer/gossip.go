package resumer

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/resumer/resumerpb"
)

// Topic is the topic of questions about streams.
const Topic = "stream"

// askTimeout limits how long the other instances are asked about a stream. They answer from memory.
const askTimeout = 300 * time.Millisecond

// Attachment returns the streams that began here a short while ago, for a heartbeat.
func (r *Resumer) Attachment() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	encoded, err := encodeStreams(r.records.takeRecent(r.config.Now()))
	if err != nil {
		r.config.Log.WithError(err).Warn("stream.unencoded")
		return nil
	}
	return encoded
}

// HandleAttachment records the streams in a peer's heartbeat.
func (r *Resumer) HandleAttachment(from messenger.Peer, attachment []byte) {
	streams, err := decodeStreams(attachment, maxRecent)
	if err != nil {
		r.config.Log.WithField("peer", from.Name).WithError(err).Warn("stream.malformed")
		return
	}
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range streams {
		if _, known := r.records.version(s.stream); !known {
			r.archive.add(s.stream, s.version, false, now)
		}
		r.records.add(s.stream, s.version, now)
	}
}

// Handlers returns the handler of other instances' questions, by topic.
func (r *Resumer) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		Topic: r.handle,
	}
}

func (r *Resumer) handle(_ context.Context, _ messenger.Sender, payload []byte) ([]byte, error) {
	question := &resumerpb.Question{}
	if err := proto.Unmarshal(payload, question); err != nil {
		return nil, &messenger.Refused{
			Code: messenger.CodeMalformed,
			Detail: (&Malformed{
				What:  "question about a stream",
				Cause: err,
			}).Error(),
		}
	}
	r.mu.Lock()
	version, known := r.records.version(question.GetStream())
	r.mu.Unlock()
	return proto.Marshal(&resumerpb.Answer{
		Known:   known,
		Version: version,
	})
}

// inquiry asks one instance which version began a stream.
type inquiry struct {
	resumer *Resumer
	peer    messenger.Peer
	payload []byte
	answers chan<- *resumerpb.Answer
}

// run asks and delivers the answer, which is empty after a failure.
func (i *inquiry) run(ctx context.Context) {
	answer := &resumerpb.Answer{}
	data, err := i.resumer.config.Call(ctx, i.peer, Topic, i.payload)
	if err == nil {
		err = proto.Unmarshal(data, answer)
	}
	if err != nil {
		i.resumer.metrics.unanswered.Inc()
		answer = &resumerpb.Answer{}
	}
	i.answers <- answer
}

// ask asks all other instances which version began a stream, and returns the first answer of one that knows.
func (r *Resumer) ask(ctx context.Context, stream uint64) (string, bool) {
	payload, err := proto.Marshal(&resumerpb.Question{
		Stream: stream,
	})
	if err != nil {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	peers := r.config.Peers()
	answers := make(chan *resumerpb.Answer, len(peers))
	for _, peer := range peers {
		i := &inquiry{
			resumer: r,
			peer:    peer,
			payload: payload,
			answers: answers,
		}
		go i.run(ctx)
	}
	for range peers {
		select {
		case answer := <-answers:
			if answer.GetKnown() {
				return answer.GetVersion(), true
			}
		case <-ctx.Done():
			return "", false
		}
	}
	return "", false
}
