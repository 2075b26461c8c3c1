package messenger_test

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/linker"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// TestAdvertisedAddressesNeedNoNewConnections checks that peers which know each other by the addresses of
// relays, as behind network address translation, reuse connections that arrive from other addresses.
func TestAdvertisedAddressesNeedNoNewConnections(t *testing.T) {
	is := is.New(t)
	s := newTestCluster(t)
	first, _ := s.start(s.config("a1", 1))
	second, _ := s.start(s.config("a2", 1))
	relays := []linker.Relay{
		{
			Listen: freeAddress(t),
			Target: first.Address(),
		},
		{
			Listen: freeAddress(t),
			Target: second.Address(),
		},
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	link := linker.New(linker.Config{
		Packets: relays,
	})
	go func() { _ = link.Run(ctx) }()
	for range 10 {
		_, err := first.Call(ctx, messenger.Peer{
			Name:    "a2",
			Address: relays[1].Listen,
		}, "echo", nil)
		is.NoErr(err)
		_, err = second.Call(ctx, messenger.Peer{
			Name:    "a1",
			Address: relays[0].Listen,
		}, "echo", nil)
		is.NoErr(err)
	}
	is.True(first.Snapshot().Dialed+second.Snapshot().Dialed <= 2)
}

// freeAddress returns a free UDP address on the loopback interface.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{
		IP: net.IPv4(127, 0, 0, 1),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	return netip.MustParseAddrPort(socket.LocalAddr().String())
}
