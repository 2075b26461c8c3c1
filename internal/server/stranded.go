package server

import (
	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// RefuseStranded returns a refusal for a request in the queue if all upstreams that could run it are in evacuated failure domains,
// some of them in the one that has just been evacuated, and nil otherwise. No load of its model elsewhere has been requested for it
// then; its caller's next request does that. One that waits for such a load since an earlier evacuation goes on waiting.
func (s *Server) RefuseStranded(ticket queuer.Ticket, domain string) *refuser.Refusal {
	need, ok := ticket.Value.(router.Need)
	if !ok {
		return nil
	}
	return s.refuseStranded(need, domain)
}

// refuseStranded refuses a request at once that would wait for upstreams which get no requests until an operator takes their
// failure domain back. When that is, is not known.
func (s *Server) refuseStranded(need router.Need, domain string) *refuser.Refusal {
	if s.config.Stranded == nil || !s.config.Stranded(need, domain) {
		return nil
	}
	return newRefusal(refuser.CodeNoUpstream, "all upstreams of the request are in evacuated failure domains")
}
