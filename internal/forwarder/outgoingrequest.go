package forwarder

import (
	"net/http"
	"net/netip"
)

// outgoingRequest holds the parts of the HTTP request that an attempt sends.
type outgoingRequest struct {
	method  string
	address netip.AddrPort
	// path is the unescaped path.
	path string
	// target is the path and query exactly as received from the caller. Unless it is empty, it
	// replaces path, escaped and query.
	target string
	// host is the value of the Host field; empty means the address.
	host string
	// escaped is the path as the caller escaped it, or empty.
	escaped string
	query   string
	header  http.Header
	body    []byte
}
