// Package connector opens TCP connections to upstreams and to the store. They detect a peer that has become unreachable without
// closing the connection, and when they are closed, bytes that the peer has not received are discarded.
package connector

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle is how long a connection is idle before keep-alive probes are sent.
	keepAliveIdle = time.Second
	// keepAliveInterval is the time between keep-alive probes.
	keepAliveInterval = 500 * time.Millisecond
	// keepAliveCount is the number of unanswered probes after which the connection is closed.
	keepAliveCount = 3
	// userTimeout is how long sent data may stay unacknowledged before the connection is closed.
	userTimeout = 2500 * time.Millisecond
)

// Connector opens connections.
type Connector struct {
	dialer net.Dialer
}

// New returns a Connector that takes at most the given timeout to open a connection; zero means no limit.
func New(timeout time.Duration) *Connector {
	return &Connector{
		dialer: net.Dialer{
			Timeout: timeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     keepAliveIdle,
				Interval: keepAliveInterval,
				Count:    keepAliveCount,
			},
			Control: setOptions,
		},
	}
}

// DialContext opens a TCP connection to an address.
func (c *Connector) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	opened, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := opened.(*net.TCPConn)
	if !ok {
		return opened, nil
	}
	return &connection{
		Conn:   tcp,
		socket: tcp,
	}, nil
}

// setOptions sets TCP_USER_TIMEOUT, as keep-alive probes are not sent while sent data is unacknowledged, and this timeout detects
// the silent peer. SO_LINGER makes the kernel reset the connection if the process ends without closing it.
func setOptions(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		if optionErr == nil {
			optionErr = unix.SetsockoptLinger(int(descriptor), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{
				Onoff: 1,
			})
		}
	})
	if err != nil {
		return err
	}
	return optionErr
}
