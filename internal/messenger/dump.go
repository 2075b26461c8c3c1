package messenger

import (
	"cmp"
	"net/netip"
	"slices"
)

// Dump is the state of a messenger, for operators.
type Dump struct {
	// Name is the instance's name.
	Name string `json:"name"`
	// Address is the address that the messenger listens on.
	Address netip.AddrPort `json:"address"`
	// Links lists the open connections, sorted by peer name.
	Links []DumpLink `json:"links"`
	// Sent and Received count messages.
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
	// Refused counts refused connections and messages.
	Refused uint64 `json:"refused"`
	// Failed counts calls that got no answer.
	Failed uint64 `json:"failed"`
	// Dialed and Accepted count connections.
	Dialed   uint64 `json:"dialed"`
	Accepted uint64 `json:"accepted"`
	// SentBytes and ReadBytes count the bytes of messages, without the transport's overhead.
	SentBytes uint64 `json:"sentbytes"`
	ReadBytes uint64 `json:"readbytes"`
}

// DumpLink is one open connection.
type DumpLink struct {
	// Peer is the peer's name.
	Peer string `json:"peer"`
	// Domain is the peer's failure domain.
	Domain string `json:"domain"`
	// Address is the peer's address.
	Address netip.AddrPort `json:"address"`
	// Accepted is set if the peer opened the connection.
	Accepted bool `json:"accepted"`
	// RoundTrip is the smoothed round-trip time, as in "1.2ms".
	RoundTrip string `json:"trip"`
	// SentBytes and ReadBytes count the connection's bytes, including the transport's
	// overhead.
	SentBytes uint64 `json:"sentbytes"`
	ReadBytes uint64 `json:"readbytes"`
	// SentPackets and ReadPackets count the connection's packets.
	SentPackets uint64 `json:"sentpackets"`
	ReadPackets uint64 `json:"readpackets"`
}

// Dump returns the messenger's state.
func (m *Messenger) Dump() any { return m.Snapshot() }

// Snapshot returns the messenger's state as a typed value.
func (m *Messenger) Snapshot() Dump {
	dump := Dump{
		Name:      m.config.Self.Name,
		Address:   m.Address(),
		Sent:      m.counters.sent.Load(),
		Received:  m.counters.received.Load(),
		Refused:   m.counters.refused.Load(),
		Failed:    m.counters.failed.Load(),
		Dialed:    m.counters.dialed.Load(),
		Accepted:  m.counters.accepted.Load(),
		SentBytes: m.counters.sentBytes.Load(),
		ReadBytes: m.counters.readBytes.Load(),
	}
	for _, l := range m.openLinks() {
		stats := l.connection.ConnectionStats()
		dump.Links = append(dump.Links, DumpLink{
			Peer:        l.subject.Name,
			Domain:      l.subject.Domain,
			Address:     l.address(),
			Accepted:    l.accepted,
			RoundTrip:   stats.SmoothedRTT.String(),
			SentBytes:   stats.BytesSent,
			ReadBytes:   stats.BytesReceived,
			SentPackets: stats.PacketsSent,
			ReadPackets: stats.PacketsReceived,
		})
	}
	slices.SortFunc(dump.Links, func(a, b DumpLink) int { return cmp.Compare(a.Peer, b.Peer) })
	return dump
}
