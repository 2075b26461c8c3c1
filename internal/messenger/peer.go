package messenger

import "net/netip"

// Peer is an instance that messages can be sent to.
type Peer struct {
	// Name is the name that the peer's certificate must carry.
	Name string
	// Address is where the peer listens.
	Address netip.AddrPort
}
