package app

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"

	"github.com/buckthorngap/buckthorngap/internal/quarantiner"
	"github.com/buckthorngap/buckthorngap/internal/server"
)

// wireQuarantine creates the quarantiner, which finds the requests and parts of prompts under which upstreams crash.
func (f *Front) wireQuarantine() {
	f.quarantiner = quarantiner.New(quarantiner.Config{
		Peers:   f.allPeers,
		Joined:  f.tracker.Joined,
		Call:    f.messenger.Call,
		Down:    refusesConnections,
		Changed: func() { f.server.RefuseQuarantined() },
		Log:     f.log,
	})
}

// quarantineFunctions returns the functions through which the server uses the quarantiner.
func (f *Front) quarantineFunctions() server.Quarantine {
	return server.Quarantine{
		Await:          f.quarantiner.Await,
		Check:          f.quarantiner.Quarantined,
		ReportBegun:    f.quarantiner.Survived,
		ReportComplete: f.quarantiner.Completed,
		ReportBroken:   f.quarantiner.Broke,
	}
}

// refusesConnections reports whether no process listens at an address of a machine that answers.
func refusesConnections(ctx context.Context, address netip.AddrPort) bool {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
