package linker

import (
	"context"
	"net"
	"net/netip"
	"sync"
)

// maxPacketBytes is the maximum size of a relayed packet, in bytes.
const maxPacketBytes = 64 << 10

// packetRelay relays UDP packets to one target. It opens a socket to the target
// for each sender, so that it can tell which sender an answer is for.
type packetRelay struct {
	config      Relay
	linker      *Linker
	failures    chan<- error
	mutex       sync.Mutex
	returnPaths map[netip.AddrPort]*returnPath
}

func (p *packetRelay) run(ctx context.Context) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.config.Listen))
	if err != nil {
		p.failures <- err
		return
	}
	p.returnPaths = map[netip.AddrPort]*returnPath{}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	buffer := make([]byte, maxPacketBytes)
	for {
		n, sender, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p.forward(ctx, socket, sender, buffer[:n])
	}
}

// forward sends a packet to the target unless its sender's failure domain is partitioned from it.
func (p *packetRelay) forward(ctx context.Context, socket *net.UDPConn, sender netip.AddrPort, packet []byte) {
	path, err := p.returnPath(ctx, socket, sender)
	if err != nil {
		return
	}
	if cut, _ := p.linker.isPartitioned(path.domain, p.config.To); cut {
		return
	}
	_, _ = path.target.Write(packet)
}

// returnPath returns the sender's return path, and creates it for a new sender.
func (p *packetRelay) returnPath(ctx context.Context, socket *net.UDPConn, sender netip.AddrPort) (*returnPath, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if path, ok := p.returnPaths[sender]; ok {
		return path, nil
	}
	target, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(p.config.Target))
	if err != nil {
		return nil, err
	}
	path := &returnPath{
		relay:  p,
		socket: socket,
		target: target,
		sender: sender,
		domain: p.linker.config.Domains[sender.Addr().Unmap()],
	}
	p.returnPaths[sender] = path
	go path.run(ctx)
	return path, nil
}
