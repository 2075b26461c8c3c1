package linker_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/linker"
)

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func TestPartitionClosesConnectionsAndRefusesNewOnes(t *testing.T) {
	is := is.New(t)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer target.Close()
	go func() {
		for {
			accepted, err := target.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(accepted, accepted) }()
		}
	}()
	listen := freeAddress(t)
	link := linker.New(linker.Config{
		Connections: []linker.Relay{
			{
				From:   "a",
				To:     linker.PlatformDomain,
				Listen: listen,
				Target: netip.MustParseAddrPort(target.Addr().String()),
			},
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = link.Run(ctx) }()

	connection := dial(t, listen)
	is.Equal(echo(connection), "hello")
	link.SetPartitions(linker.Pair{
		A: linker.PlatformDomain,
		B: "a",
	})
	_, err = connection.Read(make([]byte, 1))
	is.True(err != nil)
	refused := dial(t, listen)
	_, err = refused.Read(make([]byte, 1))
	is.True(err != nil)
	link.SetPartitions()
	is.Equal(echo(dial(t, listen)), "hello")
}

// dial connects to the address, and retries until the relay listens.
func dial(t *testing.T, address netip.AddrPort) net.Conn {
	t.Helper()
	for {
		connection, err := net.Dial("tcp", address.String())
		if err == nil {
			t.Cleanup(func() { _ = connection.Close() })
			return connection
		}
		time.Sleep(time.Millisecond)
	}
}

// echo sends "hello" and returns the five bytes that come back.
func echo(connection net.Conn) string {
	_, _ = connection.Write([]byte("hello"))
	answer := make([]byte, 5)
	_, _ = io.ReadFull(connection, answer)
	return string(answer)
}
