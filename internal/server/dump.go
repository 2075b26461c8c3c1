package server

import (
	"cmp"
	"slices"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/queuer"
)

// Dump describes the state of a Server for operators.
type Dump struct {
	// Ready reports whether the load balancer should send requests.
	Ready bool `json:"ready"`
	// Bodies is the memory reserved for request bodies, in bytes.
	Bodies int64 `json:"bodies"`
	// Requests are the waiting and running requests, oldest first.
	Requests []RequestRow `json:"requests"`
}

// RequestRow describes one waiting or running request in a Dump.
type RequestRow struct {
	// Request is the request's identity.
	Request string `json:"request"`
	// Team is the team of the request's key.
	Team string `json:"team"`
	// Model is the requested model; empty for calls to services.
	Model string `json:"model,omitempty"`
	// Service is the called service; empty for requests to models.
	Service string `json:"service,omitempty"`
	// Class is the priority class.
	Class queuer.Class `json:"class"`
	// Started is when the request arrived.
	Started time.Time `json:"started"`
	// Deadline is when the request must have been answered.
	Deadline time.Time `json:"deadline"`
}

// Dump returns the current state as a Dump.
func (s *Server) Dump() any {
	dump := Dump{
		Ready:    s.Ready(),
		Bodies:   s.bodyMemory.Load(),
		Requests: []RequestRow{},
	}
	for _, e := range s.admitted() {
		dump.Requests = append(dump.Requests, RequestRow{
			Request:  e.id,
			Team:     e.key.Team,
			Model:    e.model.Name,
			Service:  e.service.Name,
			Class:    e.class,
			Started:  e.started,
			Deadline: e.deadline,
		})
	}
	slices.SortFunc(dump.Requests, func(a, b RequestRow) int {
		return cmp.Or(a.Started.Compare(b.Started), cmp.Compare(a.Request, b.Request))
	})
	return dump
}
