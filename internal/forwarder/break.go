package forwarder

import (
	"net/netip"
	"time"
)

// Break describes an attempt whose connection ended before its answer was known to be complete.
type Break struct {
	// Upstream is the upstream's name, and Address its address.
	Upstream string
	Address  netip.AddrPort
	// Sent is when the request was sent.
	Sent time.Time
	// Begun is set if the answer had gone on for a while.
	Begun bool
}
