package network

import "time"

// Config configures a Network.
type Config struct {
	// Delay returns the one-way latency of a message; nil means none.
	Delay func(from, to string) time.Duration
	// Lose reports whether a message is lost. It is also called for each answer,
	// with from and to exchanged. Nil means never.
	Lose func(from, to, topic string) bool
	// Late reports whether a message is handled although its caller has given up
	// before the delivery. Nil means never.
	Late func() bool
	// Count is called with the size of each message and answer; may be nil.
	Count func(from, to, topic string, bytes int)
}
