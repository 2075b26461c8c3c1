package messenger

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/messenger/messengerpb"
)

// incomingCall is a message from a peer and the answer to it.
type incomingCall struct {
	messenger *Messenger
	link      *link
	stream    *quic.Stream
}

// run receives the message and answers it on its stream.
func (x *incomingCall) run(ctx context.Context) {
	m := x.messenger
	ctx, cancel := context.WithTimeout(ctx, m.config.Timeout)
	defer cancel()
	// The stream's context ends when the caller cancels the call.
	stop := context.AfterFunc(x.stream.Context(), cancel)
	defer stop()
	_ = x.stream.SetDeadline(time.Now().Add(m.config.Timeout))
	answer := x.answer(ctx)
	data, err := proto.Marshal(answer)
	if err == nil {
		_, err = x.stream.Write(data)
	}
	if err != nil {
		x.stream.CancelWrite(streamCancel)
		return
	}
	_ = x.stream.Close()
}

// answer reads and checks the message, and returns the handler's answer or a refusal.
func (x *incomingCall) answer(ctx context.Context) *messengerpb.Answer {
	m := x.messenger
	data, free, err := x.read(ctx)
	defer free()
	if err != nil {
		x.stream.CancelRead(streamCancel)
		return m.refusalFor(err)
	}
	m.counters.countReceived(len(data))
	envelope := &messengerpb.Envelope{}
	if err := proto.Unmarshal(data, envelope); err != nil {
		return m.refusal(CodeMalformed, "the envelope cannot be decoded")
	}
	from, err := x.check(envelope)
	if err != nil {
		return m.refusalFor(err)
	}
	// The slot is acquired only after reading, so that slow senders do not occupy slots.
	select {
	case m.slots <- struct{}{}:
		defer m.releaseSlot()
	case <-ctx.Done():
		return m.refusal(CodeBusy, "no handler is free")
	}
	return m.handle(ctx, from, envelope.GetTopic(), envelope.GetPayload())
}

// releaseSlot releases the slot of a message that has been handled.
func (m *Messenger) releaseSlot() { <-m.slots }

// read reads the complete message. One of at least largeMessageBytes takes MaxBytes of the messenger's
// buffer until free is called.
func (x *incomingCall) read(ctx context.Context) (data []byte, free func(), err error) {
	m := x.messenger
	free = func() {}
	var buffer bytes.Buffer
	_, err = io.Copy(&buffer, io.LimitReader(x.stream, largeMessageBytes))
	if err != nil || buffer.Len() < largeMessageBytes {
		return buffer.Bytes(), free, err
	}
	if err := m.buffer.Acquire(ctx, MaxBytes); err != nil {
		return nil, free, &Refused{
			Code:   CodeBusy,
			Detail: "no memory is free for a large message",
		}
	}
	free = func() { m.buffer.Release(MaxBytes) }
	_, err = io.Copy(&buffer, io.LimitReader(x.stream, maxEnvelopeBytes+1-largeMessageBytes))
	if err == nil && buffer.Len() > maxEnvelopeBytes {
		err = &Refused{
			Code:   CodeSize,
			Detail: "the message is too large",
		}
	}
	return buffer.Bytes(), free, err
}

// check verifies that the envelope's sender is the one in the certificate and that no newer incarnation
// of it is known.
func (x *incomingCall) check(envelope *messengerpb.Envelope) (Sender, error) {
	subject := x.link.subject
	from := Sender{
		Name:        envelope.GetName(),
		Domain:      envelope.GetDomain(),
		Incarnation: envelope.GetIncarnation(),
	}
	if from.Name != subject.Name || from.Domain != subject.Domain {
		return from, &Refused{
			Code:   CodeIdentity,
			Detail: "the sender does not match its certificate",
		}
	}
	if !x.messenger.incarnations.accept(from.Name, from.Incarnation, x.messenger.config.Now()) {
		return from, &Refused{
			Code:   CodeStale,
			Detail: "a newer incarnation of the sender was seen",
		}
	}
	return from, nil
}

// handle passes a message to the handler of its topic.
func (m *Messenger) handle(ctx context.Context, from Sender, topic string, payload []byte) *messengerpb.Answer {
	handler, ok := m.handlers[topic]
	if !ok {
		return m.refusal(CodeTopic, "topic "+topic+" is unknown")
	}
	answer, err := handler(ctx, from, payload)
	if err != nil {
		return m.refusalFor(err)
	}
	if len(answer) > MaxBytes {
		return m.refusal(CodeSize, "the answer is too large")
	}
	return &messengerpb.Answer{
		Payload: answer,
	}
}

// refusalFor returns the refusal for an error, with the error's code if it is a *Refused.
func (m *Messenger) refusalFor(err error) *messengerpb.Answer {
	var refused *Refused
	if errors.As(err, &refused) {
		return m.refusal(refused.Code, refused.Detail)
	}
	return m.refusal(CodeFailed, err.Error())
}

// refusal counts and returns a refusal.
func (m *Messenger) refusal(code Code, detail string) *messengerpb.Answer {
	m.counters.countRefused(code)
	return &messengerpb.Answer{
		Code:   string(code),
		Detail: detail,
	}
}
