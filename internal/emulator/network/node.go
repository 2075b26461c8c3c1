package network

import "github.com/buckthorngap/buckthorngap/internal/messenger"

// Node is one emulated process on the network.
type Node struct {
	// Self is the sender that its messages carry.
	Self messenger.Sender
	// Peer is the name and address under which others reach it.
	Peer messenger.Peer
	// Handlers maps each topic to the handler of its messages.
	Handlers map[string]messenger.Handler
	// Gate freezes and kills the emulated process.
	Gate *Gate
}
