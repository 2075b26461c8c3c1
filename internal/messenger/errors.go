package messenger

import "fmt"

// Unreachable reports a call that got no answer from the peer.
type Unreachable struct {
	// Peer is the peer that was called.
	Peer Peer
	// Sent reports whether any byte of the message may have reached the peer.
	Sent bool
	// Cause is the transport's or context's error.
	Cause error
}

// Error implements error.
func (e *Unreachable) Error() string {
	return fmt.Sprintf("peer %s at %s gave no answer: %v", e.Peer.Name, e.Peer.Address, e.Cause)
}

// Unwrap returns the transport's or context's error.
func (e *Unreachable) Unwrap() error { return e.Cause }

// Refused reports that the peer, or one of its handlers, refused the message. A handler
// returns it to choose the code that the caller sees.
type Refused struct {
	// Peer is the name of the peer; empty in errors that a handler returns.
	Peer string
	// Code is the reason.
	Code Code
	// Detail describes the reason.
	Detail string
}

// Error implements error.
func (e *Refused) Error() string {
	return fmt.Sprintf("peer %s refused (%s): %s", e.Peer, e.Code, e.Detail)
}

// TooLarge reports a message or answer above MaxBytes.
type TooLarge struct {
	// Topic is the message's topic.
	Topic string
	// Bytes is the size. A received message has at least this size.
	Bytes int
}

// Error implements error.
func (e *TooLarge) Error() string {
	return fmt.Sprintf("message of topic %s is too large: %d bytes", e.Topic, e.Bytes)
}

// Setup reports that the messenger cannot listen on its socket.
type Setup struct {
	// Cause is the socket's error.
	Cause error
}

// Error implements error.
func (e *Setup) Error() string { return "the messenger cannot listen: " + e.Cause.Error() }

// Unwrap returns the socket's error.
func (e *Setup) Unwrap() error { return e.Cause }

// Closed reports a call on a closed messenger.
type Closed struct{}

// Error implements error.
func (e *Closed) Error() string { return "the messenger is closed" }
