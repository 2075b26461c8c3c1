// Package forwarder sends requests to upstreams and relays their answers. It
// decides which failed attempts are retried and which outcome the caller gets: not
// run only if no byte of the request can have reached an upstream or the upstream
// itself states it, else unknown.
package forwarder

import (
	"context"
	"net/http"
	"sync"
)

// Forwarder sends requests to upstreams over one shared HTTP transport.
type Forwarder struct {
	config    Config
	transport *http.Transport
	canceller *canceller
	// echoes holds the names of upstreams that have echoed a request identity.
	echoes sync.Map
}

// New returns a Forwarder. Abandoned requests are cancelled only while Run runs.
func New(config Config) *Forwarder {
	config = config.withDefaults()
	transport := newTransport(config)
	return &Forwarder{
		config:    config,
		transport: transport,
		canceller: newCanceller(transport),
	}
}

// Run cancels abandoned requests at their engines until the context ends.
func (f *Forwarder) Run(ctx context.Context) {
	f.canceller.start(ctx)
	<-ctx.Done()
	f.transport.CloseIdleConnections()
}
