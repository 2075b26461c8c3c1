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

// resolve finds the model, version and adapter that a request asks for.
func (s *Server) resolve(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		p := request.(*passage)
		if refused := s.locate(p, s.config.Snapshot()); refused != nil {
			return nil, refused
		}
		if forwarder.ContainsSecret(p.secrets, string(p.body)) {
			return nil, refuse(refuser.CodeBadRequest, "the body contains the key")
		}
		return next(ctx, p)
	}
}

// locate finds them in one snapshot.
func (s *Server) locate(p *passage, snapshot *configurator.Snapshot) *refuser.Refusal {
	model, ok := snapshot.Model(p.completion.model)
	if !ok {
		p.adapter, ok = snapshot.Adapter(p.completion.model)
		if !ok {
			return refuse(refuser.CodeNoModel, "the model is not known")
		}
		if model, ok = snapshot.Model(p.adapter.Model); !ok {
			return refuse(refuser.CodeNoModel, "the model of the adapter is not known")
		}
		if snapshot.AdapterWithdrawn(p.adapter) {
			return refuse(refuser.CodeNoModel, "the adapter was withdrawn")
		}
	}
	if !s.config.Allows(model.Teams, p.key.Team) || !s.config.Allows(p.adapter.Teams, p.key.Team) {
		return refuse(refuser.CodeForbidden, "the model is not open to the team")
	}
	version, ok := snapshot.Version(model.Name, model.Version)
	if !ok {
		return refuse(refuser.CodeNoModel, "the model has no version")
	}
	if snapshot.VersionWithdrawn(version) {
		return refuse(refuser.CodeNoModel, "the version of the model was withdrawn")
	}
	p.model = model
	p.version = version
	p.need = router.Need{
		Checkpoint: version.Checkpoint,
		Adapter:    p.adapter.Name,
		Prefix:     p.prefix(),
	}
	return nil
}

func allows(teams []string, team string) bool {
	return len(teams) == 0 || slices.Contains(teams, team)
}
