package drainer

import "net/netip"

// Departure identifies the start of an upstream that leaves.
type Departure struct {
	// Upstream is the name of the upstream.
	Upstream string
	// Start identifies the upstream's start, as in its report.
	Start string
	// Address is the listen address of the upstream.
	Address netip.AddrPort
}
