package server

import (
	"context"
	"net/netip"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/internal/quarantiner"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// Quarantine has the functions through which the server learns which requests crash upstreams, and tells what it sees. All are
// set, or none.
type Quarantine struct {
	// Await waits until this instance knows what others knew as it started, or the context ends.
	Await func(ctx context.Context)
	// Check reports whether a request must not be sent, and until when.
	Check func(request quarantiner.Request) (until time.Time, held bool)
	// ReportBegun is called with the shared parts of a prompt that an engine began to answer at a time.
	ReportBegun func(parts []uint64, at time.Time)
	// ReportComplete is called with the hash of a request whose answer an upstream completed at a time.
	ReportComplete func(whole uint64, at time.Time)
	// ReportBroken is called with a request whose connection to an upstream broke before that.
	ReportBroken func(upstream string, address netip.AddrPort, attempt quarantiner.Attempt)
}

// refuseIfQuarantined returns a refusal if upstreams crash under the request or a part of its prompt.
func (e *exchange) refuseIfQuarantined() *refuser.Refusal {
	check := e.server.config.Quarantine.Check
	if check == nil {
		return nil
	}
	until, held := check(e.recognized)
	if !held {
		return nil
	}
	refusal := newRefusal(refuser.CodeQuarantined, "upstreams crashed under the request or a part of its prompt")
	refusal.RetryAt = until
	return refusal
}

// awaitEvidence waits until Check knows what other instances knew as this one started.
func (e *exchange) awaitEvidence(ctx context.Context) {
	if await := e.server.config.Quarantine.Await; await != nil {
		await(ctx)
	}
}

func (e *exchange) reportBegun(at time.Time) {
	if report := e.server.config.Quarantine.ReportBegun; report != nil {
		report(e.recognized.Parts, at)
	}
}

func (e *exchange) reportComplete(at time.Time) {
	if report := e.server.config.Quarantine.ReportComplete; report != nil {
		report(e.recognized.Whole, at)
	}
}

func (e *exchange) reportBroken(broken forwarder.Break) {
	if report := e.server.config.Quarantine.ReportBroken; report != nil {
		report(broken.Upstream, broken.Address, quarantiner.Attempt{
			Request: e.recognized,
			Sent:    broken.Sent,
			Begun:   broken.Begun,
		})
	}
}

// RefuseQuarantined refuses the requests that wait for an engine and must not be sent any more.
func (s *Server) RefuseQuarantined() {
	for _, e := range s.admitted() {
		if refusal := e.refuseIfQuarantined(); refusal != nil {
			e.dispatch.ifWaiting(func() { e.abort(refusal) })
		}
	}
}
