// Package forwarder sends requests to upstreams and relays their answers. It decides which failed
// attempts are retried, and which outcome is reported to the caller of a failed request: notrun only
// if, for each attempt, either no byte of the request can have reached the upstream or the upstream
// states that it did not run the request; else unknown.
package forwarder

import (
	"context"
	"sync"

	"github.com/buckthorngap/buckthorngap/internal/completer"
)

// Forwarder sends requests to upstreams over one shared HTTP transport.
type Forwarder struct {
	config    Config
	transport *completer.Transport
	// unkept opens a connection for each request.
	unkept    *completer.Transport
	canceller *canceller
	// echoes holds the names of upstreams that have echoed a request identity.
	echoes sync.Map
	memory answerMemory
}

// New returns a Forwarder. Abandoned requests are cancelled only while Run runs.
func New(config Config) *Forwarder {
	config = config.withDefaults()
	transport, unkept := newTransport(config), newTransport(config)
	unkept.DisableKeepAlives = true
	return &Forwarder{
		config:    config,
		transport: transport,
		unkept:    unkept,
		canceller: newCanceller(transport),
		memory: answerMemory{
			limit: config.AnswerMemoryBytes,
		},
	}
}

// Run cancels abandoned requests at their engines until the context ends.
func (f *Forwarder) Run(ctx context.Context) {
	f.canceller.start(ctx)
	<-ctx.Done()
	f.transport.CloseIdleConnections()
}
