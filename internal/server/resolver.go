package server

import (
	"context"
	"slices"

	"github.com/go-kit/kit/endpoint"

	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// resolve looks up the model, version and adapter of a completion request and checks that the team may use them. A
// body that contains the caller's key is refused, so that the key does not reach an engine.
func (s *Server) resolve(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		e := request.(*exchange)
		if refusal := s.resolveWith(e, s.config.Snapshot()); refusal != nil {
			return nil, refusal
		}
		if forwarder.ContainsSecret(e.secrets, string(e.body)) {
			return nil, newRefusal(refuser.CodeBadRequest, "the body contains the key")
		}
		return next(ctx, e)
	}
}

// resolveWith resolves the request against one snapshot, so that all entries belong to the same revision, and sets what
// the request needs of an engine.
func (s *Server) resolveWith(e *exchange, snapshot *configurator.Snapshot) *refuser.Refusal {
	model, ok := snapshot.Model(e.completion.model)
	if !ok {
		e.adapter, ok = snapshot.Adapter(e.completion.model)
		if !ok {
			return newRefusal(refuser.CodeNoModel, "the model is not known")
		}
		if model, ok = snapshot.Model(e.adapter.Model); !ok {
			return newRefusal(refuser.CodeNoModel, "the model of the adapter is not known")
		}
		if snapshot.AdapterWithdrawn(e.adapter) {
			return newRefusal(refuser.CodeNoModel, "the adapter was withdrawn")
		}
	}
	if !s.config.Allows(model.Teams, e.key.Team) || !s.config.Allows(e.adapter.Teams, e.key.Team) {
		return newRefusal(refuser.CodeForbidden, "the model is not open to the team")
	}
	version, ok := snapshot.Version(model.Name, model.Version)
	if !ok {
		return newRefusal(refuser.CodeNoModel, "the model has no version")
	}
	if snapshot.VersionWithdrawn(version) {
		return newRefusal(refuser.CodeNoModel, "the version of the model was withdrawn")
	}
	e.model = model
	e.version = version
	e.need = router.Need{
		Checkpoint: version.Checkpoint,
		Adapter:    e.adapter.Name,
		Prefix:     e.prefix(),
	}
	return e.restrictDomains(nil)
}

// teamAllowed reports whether a team is on the list; an empty list allows every team.
func teamAllowed(teams []string, team string) bool {
	return len(teams) == 0 || slices.Contains(teams, team)
}
