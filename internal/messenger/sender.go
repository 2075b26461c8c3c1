package messenger

import (
	"context"
	"net/netip"
)

// Sender is the authenticated origin of a message.
type Sender struct {
	// Name is the instance's name from its certificate.
	Name string
	// Domain is the instance's failure domain.
	Domain string
	// Incarnation is the instance's start counter, which grows with each start.
	Incarnation uint64
}

// Peer is an instance that messages can be sent to.
type Peer struct {
	// Name is the name that the peer's certificate must carry.
	Name string
	// Address is where the peer listens.
	Address netip.AddrPort
}

// Handler answers a message. The payload is only valid during the call.
type Handler func(ctx context.Context, from Sender, payload []byte) ([]byte, error)

// Caller sends a message to a peer and waits for its answer. Packages take it as a dependency
// in place of a Messenger.
type Caller func(ctx context.Context, to Peer, topic string, payload []byte) ([]byte, error)
