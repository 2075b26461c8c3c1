package server

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// modelList is the response of GET /v1/models, in the format customary for OpenAI-style APIs.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// modelEntry is a model, or an adapter with its model as Parent.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent,omitempty"`
}

// serveModels handles a request for the list of models.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	e := s.begin(w, r)
	defer e.end()
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		e.refuse(newRefusal(refuser.CodeBadRequest, "the method must be GET"))
		return
	}
	list, err := s.authenticate(s.listModels)(e.request.Context(), e)
	if err != nil {
		e.refuse(err)
		return
	}
	body, err := json.Marshal(list)
	if err != nil {
		e.refuse(err)
		return
	}
	if err := e.writeResponse(body); err == nil {
		e.outcome = refuser.Done
	}
}

// listModels returns the models and adapters that the team may use, without withdrawn ones.
func (s *Server) listModels(_ context.Context, request any) (any, error) {
	e := request.(*exchange)
	snapshot := s.config.Snapshot()
	list := modelList{
		Object: "list",
		Data:   []modelEntry{},
	}
	allowedModels := map[string]bool{}
	for model := range snapshot.Models() {
		version, ok := snapshot.Version(model.Name, model.Version)
		if !ok || snapshot.VersionWithdrawn(version) || !s.config.Allows(model.Teams, e.key.Team) {
			continue
		}
		allowedModels[model.Name] = true
		list.Data = append(list.Data, modelEntry{
			ID:      model.Name,
			Object:  "model",
			OwnedBy: "buckthorngap",
		})
	}
	for adapter := range snapshot.Adapters() {
		if !allowedModels[adapter.Model] || !s.config.Allows(adapter.Teams, e.key.Team) || snapshot.AdapterWithdrawn(adapter) {
			continue
		}
		list.Data = append(list.Data, modelEntry{
			ID:      adapter.Name,
			Object:  "model",
			OwnedBy: "buckthorngap",
			Parent:  adapter.Model,
		})
	}
	return list, nil
}
