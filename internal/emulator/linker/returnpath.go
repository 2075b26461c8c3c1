package linker

import (
	"context"
	"net"
	"net/netip"
)

// returnPath holds the socket to the target for one sender, and relays the
// target's packets back to that sender.
type returnPath struct {
	relay  *packetRelay
	socket *net.UDPConn
	target *net.UDPConn
	sender netip.AddrPort
	domain string
}

func (r *returnPath) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = r.target.Close() })
	defer stop()
	buffer := make([]byte, maxPacketBytes)
	for ctx.Err() == nil {
		n, err := r.target.Read(buffer)
		if err != nil {
			// While the target is down, reads fail with an ICMP error; it may be restarted.
			continue
		}
		if cut, _ := r.relay.linker.isPartitioned(r.domain, r.relay.config.To); !cut {
			_, _ = r.socket.WriteToUDPAddrPort(buffer[:n], r.sender)
		}
	}
}
