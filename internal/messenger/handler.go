package messenger

import "context"

// Handler returns the answer to a message. The payload is only valid during the call. An error becomes a
// refusal: a *Refused with its own code, any other with CodeFailed.
type Handler func(ctx context.Context, from Sender, payload []byte) ([]byte, error)

// Caller sends a message to a peer and waits for its answer, like Messenger.Call. Packages take it as a
// dependency in place of a Messenger.
type Caller func(ctx context.Context, to Peer, topic string, payload []byte) ([]byte, error)
