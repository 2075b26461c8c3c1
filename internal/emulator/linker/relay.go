package linker

import "net/netip"

// Relay forwards UDP packets or TCP connections from one address to another.
type Relay struct {
	// From is the failure domain of the senders; empty if Config.Domains determines it from their address.
	From string
	// To is the failure domain of the target.
	To string
	// Listen is the address on which the relay listens.
	Listen netip.AddrPort
	// Target is the address to which it forwards.
	Target netip.AddrPort
}
