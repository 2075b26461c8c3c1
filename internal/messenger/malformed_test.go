package messenger_test

import (
	"context"
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/certifier"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/messenger/messengerpb"
)

// TestMalformedInputIsRefusedAndCounted checks that a client with a valid certificate that
// sends arbitrary bytes gets refusals, and does not keep others from being served.
func TestMalformedInputIsRefusedAndCounted(t *testing.T) {
	is := is.New(t)
	s := newTestCluster(t)
	config := s.config("a1", 1)
	config.MaxHandlers = 4
	config.Timeout = testTimeout
	config.BufferBytes = messenger.MaxBytes
	target, _ := s.start(config)
	other, _ := s.start(s.config("a2", 1))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	client := s.identity("a9", "a", certifier.UnitInstance).Client("a1")
	client.NextProtos = []string{"buckthorngap/1"}
	connection, err := quic.DialAddr(ctx, target.Address().String(), client, nil)
	is.NoErr(err)
	defer connection.CloseWithError(0, "")

	send := func(data []byte) messenger.Code {
		stream, err := connection.OpenStreamSync(ctx)
		is.NoErr(err)
		_, _ = stream.Write(data) // may be stopped by the refusal
		_ = stream.Close()
		raw, err := io.ReadAll(stream)
		is.NoErr(err)
		answer := &messengerpb.Answer{}
		is.NoErr(proto.Unmarshal(raw, answer))
		return messenger.Code(answer.GetCode())
	}
	envelope := func(name string, payload int) []byte {
		data, err := proto.Marshal(&messengerpb.Envelope{
			Topic:   "echo",
			Name:    name,
			Domain:  "a",
			Payload: make([]byte, payload),
		})
		is.NoErr(err)
		return data
	}
	is.Equal(send([]byte("\xff\xff\xff\xff")), messenger.CodeMalformed)
	is.Equal(send(nil), messenger.CodeIdentity)
	is.Equal(send(envelope("a2", 1)), messenger.CodeIdentity)
	for range 3 {
		is.Equal(send(envelope("a9", messenger.MaxBytes+8<<10)), messenger.CodeSize)
	}
	is.Equal(send(envelope("a9", 100<<10)), messenger.Code("")) // large, but within the limit
	is.Equal(target.Snapshot().Refused, uint64(6))

	// Streams that are never finished do not occupy handlers.
	for range 64 {
		stream, err := connection.OpenStreamSync(ctx)
		is.NoErr(err)
		_, err = stream.Write([]byte{0x0a})
		is.NoErr(err)
	}
	_, err = other.Call(ctx, peer("a1", target), "echo", []byte("x"))
	is.NoErr(err)
}
