package starter

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// Sites use ports below the system's ephemeral range: an outgoing connection
// could otherwise take a port between its choice and the start of its process.
const (
	firstPort = 20_000
	lastPort  = 32_000
	// portStride is the distance between the first ports that processes with consecutive ids try.
	portStride = 331
)

// nextPort is the offset of the next port to try. It starts at a value derived
// from the process id, so that concurrent test processes try different ports.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * portStride) }

// domainAddress returns the loopback address of a failure domain, by which
// relays recognise the domain that a packet comes from.
func domainAddress(index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, byte(index + 1), 1})
}

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// freePort returns a port of the address on which nothing listens for TCP or
// UDP. It returns *Failed if all ports of the range are in use.
func freePort(address netip.Addr) (netip.AddrPort, error) {
	var cause error
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		candidate := netip.AddrPortFrom(address, uint16(port))
		if cause = checkFree(candidate); cause == nil {
			return candidate, nil
		}
	}
	return netip.AddrPort{}, &Failed{
		Process: "site",
		Step:    "port",
		Cause:   cause,
	}
}

// checkFree returns an error unless the address is free for TCP and UDP.
func checkFree(address netip.AddrPort) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	_ = listener.Close()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	return socket.Close()
}
