package server

import (
	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// RefuseStranded returns a refusal for a request in the queue if all upstreams that could run it are in evacuated failure
// domains, and nil otherwise. It is called when a domain is evacuated: no load of the model elsewhere has been requested for
// the request then, and its caller's next one requests it.
func (s *Server) RefuseStranded(ticket queuer.Ticket) *refuser.Refusal {
	need, ok := ticket.Value.(router.Need)
	if !ok {
		return nil
	}
	return s.refuseStranded(need)
}

// refuseStranded refuses a request at once that would wait for upstreams which get no requests until an operator takes their
// failure domain back. When that is, is not known.
func (s *Server) refuseStranded(need router.Need) *refuser.Refusal {
	if s.config.Stranded == nil || !s.config.Stranded(need) {
		return nil
	}
	return newRefusal(refuser.CodeNoUpstream, "all upstreams of the request are in evacuated failure domains")
}
