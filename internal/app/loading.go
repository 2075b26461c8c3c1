package app

import (
	"slices"

	"github.com/buckthorngap/buckthorngap/internal/orderer"
	"github.com/buckthorngap/buckthorngap/internal/placer"
	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// wireLoading creates the placer, which places models on the engines of the failure domain.
func (i *Instance) wireLoading() {
	orders := orderer.New(orderer.Config{
		Client: orderer.NewClient(),
	})
	i.placer = placer.New(placer.Config{
		Self:      i.self,
		Domain:    i.settings.Domain,
		Domains:   i.settings.Limits.Domains,
		DutyCount: i.settings.Duties.Placements,
		Term:      i.term,
		Owner:     i.owner,
		Call:      i.messenger.Call,
		Store:     i.store,
		Catalog:   i.catalog,
		Engines:   i.engines,
		Report:    i.reporter.Report,
		Order:     orders.Order,
		Log:       i.log,
		Settings:  i.settings.Loading,
	})
}

// catalog returns the placer's view of the configuration in force.
func (i *Instance) catalog() placer.Catalog {
	snapshot := i.spreader.Current()
	return placer.Catalog{
		Model:            snapshot.Model,
		Models:           func() []configurator.Model { return slices.Collect(snapshot.Models()) },
		Version:          snapshot.Version,
		Checkpoint:       snapshot.VersionByCheckpoint,
		Adapter:          snapshot.Adapter,
		Upstream:         snapshot.Upstream,
		VersionWithdrawn: snapshot.VersionWithdrawn,
		AdapterWithdrawn: snapshot.AdapterWithdrawn,
	}
}

// engines returns the engines of this instance's failure domain.
func (i *Instance) engines() []storer.Instance {
	var engines []storer.Instance
	for _, upstream := range i.tracker.Upstreams() {
		if upstream.Domain == i.settings.Domain && upstream.Role == storer.RoleEngine {
			engines = append(engines, upstream)
		}
	}
	return engines
}

// addDemand reports to the placer that a request needs a model.
func (i *Instance) addDemand(ticket queuer.Ticket) {
	i.placer.AddDemand(placer.Demand{
		Model:    ticket.Model,
		Version:  ticket.Version,
		Adapter:  ticket.Adapter,
		Class:    string(ticket.Class),
		Tokens:   ticket.Tokens,
		Deadline: ticket.Deadline,
		Team:     ticket.Team,
	})
}
