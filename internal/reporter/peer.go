package reporter

import "time"

// deliveredReport is what was delivered to a peer about an upstream.
type deliveredReport struct {
	changes uint64
	digest  uint64
	// received is when this instance received the report that was delivered.
	received time.Time
}

// outdated reports whether a peer that has this must be sent the current report.
func (d deliveredReport) outdated(u *upstreamState) bool {
	return d.changes != u.changes || d.digest != u.digest || u.received.Sub(d.received) >= refreshInterval
}

// peer is another instance of the domain.
type peer struct {
	// incarnation is the peer's start counter: a restarted peer has lost all reports.
	incarnation uint64
	// busy is set while a message to the peer is under way.
	busy bool
	// delivered is what the peer has, by upstream.
	delivered map[string]deliveredReport
}
