package server

import (
	"net/netip"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// Quarantine has the functions through which the server learns which prompts crash engines, and tells what it sees. All are
// set, or none.
type Quarantine struct {
	// Check reports whether a prompt with these shared parts must not be sent, and until when.
	Check func(parts []uint64) (until time.Time, held bool)
	// ReportBegun is called with the shared parts of a prompt that an engine began to answer at a time.
	ReportBegun func(parts []uint64, at time.Time)
	// ReportBroken is called with the shared parts of a prompt whose connection to an engine broke before that.
	ReportBroken func(engine string, address netip.AddrPort, parts []uint64)
}

// refuseIfQuarantined returns a refusal if the prompt has a part under which engines crash.
func (e *exchange) refuseIfQuarantined() *refuser.Refusal {
	check := e.server.config.Quarantine.Check
	if check == nil || e.need.Checkpoint == "" {
		return nil
	}
	until, held := check(e.sharedParts)
	if !held {
		return nil
	}
	refusal := newRefusal(refuser.CodeQuarantined, "engines crashed under a part of the prompt")
	refusal.RetryAt = until
	return refusal
}

func (e *exchange) reportBegun(at time.Time) {
	if report := e.server.config.Quarantine.ReportBegun; report != nil && e.need.Checkpoint != "" {
		report(e.sharedParts, at)
	}
}

func (e *exchange) reportBroken(engine string, address netip.AddrPort) {
	if report := e.server.config.Quarantine.ReportBroken; report != nil && e.need.Checkpoint != "" {
		report(engine, address, e.sharedParts)
	}
}

// RefuseQuarantined refuses the requests that wait for an engine and must not be sent any more.
func (s *Server) RefuseQuarantined() {
	for _, e := range s.active.all() {
		if e.dispatch.sent.Load() {
			continue
		}
		if refusal := e.refuseIfQuarantined(); refusal != nil {
			e.abort(refusal)
		}
	}
}
