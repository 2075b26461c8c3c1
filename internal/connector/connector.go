// Package connector opens TCP connections that detect a peer that has become unreachable without closing
// the connection.
package connector

import (
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

// New returns a dialer that takes at most the given timeout to open a connection.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT. While sent data is unacknowledged, keep-alive probes are not sent
// and this timeout detects the silent peer.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
