// Package connector opens TCP connections that notice a peer which has gone
// silent without closing them.
package connector

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// quiet is the silence after which keep-alives are sent.
	quiet = time.Second
	// interval is the time between keep-alives.
	interval = 500 * time.Millisecond
	// misses is how many of them may stay unanswered.
	misses = 3
	// unacknowledged is how long sent bytes may stay unacknowledged.
	unacknowledged = 2500 * time.Millisecond
)

// New returns a dialer whose connections take up to a timeout to be made.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     quiet,
			Interval: interval,
			Count:    misses,
		},
		Control: control,
	}
}

func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
