package dumper

import (
	"net/http"
	"net/netip"
)

// UnknownPart reports a request for a part of the state that does not exist.
type UnknownPart struct {
	// Part is the requested name.
	Part string
}

// Error implements error.
func (e *UnknownPart) Error() string { return "the state has no part " + e.Part }

// StatusCode implements kithttp.StatusCoder: the response to the request is 404.
func (e *UnknownPart) StatusCode() int { return http.StatusNotFound }

// ListenFailed reports that a server could not listen on its address.
type ListenFailed struct {
	// Address is the configured address.
	Address netip.AddrPort
	// Cause is the network's error.
	Cause error
}

// Error implements error.
func (e *ListenFailed) Error() string { return "cannot listen: " + e.Cause.Error() }

// Unwrap returns the network's error.
func (e *ListenFailed) Unwrap() error { return e.Cause }
