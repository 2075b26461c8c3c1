package messenger

import (
	"context"
	"errors"
	"io"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/messenger/messengerpb"
)

// Call sends a message and waits for the answer until the context ends. It returns
// *Unreachable if no answer came, *Refused if the peer refused the message, *TooLarge, or
// *Closed. Call never sends a message twice.
func (m *Messenger) Call(ctx context.Context, to Peer, topic string, payload []byte) ([]byte, error) {
	if len(payload) > MaxBytes {
		return nil, &TooLarge{
			Topic: topic,
			Bytes: len(payload),
		}
	}
	if m.done.Err() != nil {
		return nil, &Closed{}
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.Timeout)
	defer cancel()
	if to.Name == m.config.Self.Name {
		return unpack(m.handle(ctx, m.config.Self, topic, payload), to)
	}
	c := &call{
		messenger: m,
		to:        to,
		topic:     topic,
		payload:   payload,
	}
	answer, err := c.send(ctx)
	if err != nil {
		m.counters.countFailed()
		return nil, err
	}
	return unpack(answer, to)
}

// unpack returns the payload of an answer, or *Refused if the answer is a refusal.
func unpack(answer *messengerpb.Answer, to Peer) ([]byte, error) {
	if answer.GetCode() != "" {
		return nil, &Refused{
			Peer:   to.Name,
			Code:   Code(answer.GetCode()),
			Detail: answer.GetDetail(),
		}
	}
	return answer.GetPayload(), nil
}

// call is one message that is being sent to a peer.
type call struct {
	messenger *Messenger
	to        Peer
	topic     string
	payload   []byte
	// sent is set once any byte of the message may have reached the peer.
	sent bool
}

// send sends the message and reads the answer. If the context ends and no packet has arrived from the
// peer since the call began, it closes the connection, so that the next call opens a new one.
func (c *call) send(ctx context.Context) (*messengerpb.Answer, error) {
	message, err := c.envelope()
	if err != nil {
		return nil, err
	}
	l, stream, err := c.open(ctx)
	if err != nil {
		return nil, c.unreachable(ctx, err)
	}
	packets := l.packetsReceived()
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(streamCancel)
		stream.CancelWrite(streamCancel)
	})
	defer stop()
	c.sent = true
	c.messenger.counters.countSent(c.topic, len(message))
	data, err := c.exchange(stream, message)
	if err != nil {
		if ctx.Err() != nil && l.packetsReceived() == packets {
			l.close("silent")
		}
		return nil, c.unreachable(ctx, err)
	}
	if len(data) > maxEnvelopeBytes {
		return nil, &TooLarge{
			Topic: c.topic,
			Bytes: len(data),
		}
	}
	answer := &messengerpb.Answer{}
	if err := proto.Unmarshal(data, answer); err != nil {
		return nil, c.unreachable(ctx, err)
	}
	return answer, nil
}

// envelope encodes the message with its topic and sender.
func (c *call) envelope() ([]byte, error) {
	self := c.messenger.config.Self
	return proto.Marshal(&messengerpb.Envelope{
		Topic:       c.topic,
		Name:        self.Name,
		Domain:      self.Domain,
		Incarnation: self.Incarnation,
		Payload:     c.payload,
	})
}

// open opens a stream to the peer. If the connection turns out to be closed, it replaces the
// connection once; nothing of the message was sent before.
func (c *call) open(ctx context.Context) (*link, *quic.Stream, error) {
	for attempt := 0; ; attempt++ {
		l, err := c.messenger.connect(ctx, c.to)
		if err != nil {
			return nil, nil, err
		}
		stream, err := l.connection.OpenStreamSync(ctx)
		if err == nil {
			return l, stream, nil
		}
		if attempt > 0 || ctx.Err() != nil {
			return nil, nil, err
		}
		l.close("broken")
	}
}

// exchange writes the message and reads the answer. It reads one byte more than the largest
// answer, so that the caller detects a larger one.
func (c *call) exchange(stream *quic.Stream, message []byte) ([]byte, error) {
	_, err := stream.Write(message)
	if err == nil {
		err = stream.Close()
	}
	var stopped *quic.StreamError
	if err != nil && !errors.As(err, &stopped) {
		return nil, err
	}
	// A peer that refuses early stops reading, but still answers.
	data, err := io.ReadAll(io.LimitReader(stream, maxEnvelopeBytes+1))
	if err != nil || len(data) > maxEnvelopeBytes {
		stream.CancelRead(streamCancel)
		stream.CancelWrite(streamCancel)
	}
	return data, err
}

// unreachable returns the error of a call without an answer.
func (c *call) unreachable(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		cause = ctx.Err()
	}
	return &Unreachable{
		Peer:  c.to,
		Sent:  c.sent,
		Cause: cause,
	}
}
