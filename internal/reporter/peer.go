package reporter

import "time"

// deliveredReport identifies the last report of an upstream that was delivered to a peer.
type deliveredReport struct {
	// changes and digest are the upstream's at the time of the delivery.
	changes uint64
	digest  uint64
	// received is when this instance received the delivered report.
	received time.Time
}

// outdated reports whether the current report must be sent to a peer that has the delivered one.
func (d deliveredReport) outdated(u *upstreamState) bool {
	return d.changes != u.changes || d.digest != u.digest || u.received.Sub(d.received) >= refreshInterval
}

// peer is the state of the messages to another instance of the domain.
type peer struct {
	// incarnation is the number of the peer's start. A restarted peer has lost all reports.
	incarnation uint64
	// busy is set while a message to the peer is in flight.
	busy bool
	// delivered holds the reports that the peer has, by upstream.
	delivered map[string]deliveredReport
}
