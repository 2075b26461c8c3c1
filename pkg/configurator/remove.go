package configurator

import "slices"

// remove removes the record of an operation.
func (a *applier) remove(operation Operation) error {
	switch {
	case operation.Team != nil:
		return a.removeTeam(operation.Team.Name)
	case operation.Model != nil:
		return a.removeModel(operation.Model.Name)
	case operation.Adapter != nil:
		return removeRecord(a.adapters, KindAdapter, operation.Adapter.Name)
	case operation.Service != nil:
		return a.removeService(operation.Service.Name)
	case operation.Upstream != nil:
		return removeRecord(a.upstreams, KindUpstream, operation.Upstream.Name)
	case operation.Route != nil:
		return a.removeRoute(operation.Route.Name)
	}
	return &Malformed{
		What: "removal of a key, version or batch, which are withdrawn instead",
	}
}

// removeService removes a service unless a route has it as a target.
func (a *applier) removeService(name string) error {
	for route := range a.routes.table.all() {
		for _, target := range route.Targets {
			if target.Service == name {
				return &InUse{
					Kind: KindService,
					Name: name,
					By:   "route " + route.Name,
				}
			}
		}
	}
	return removeRecord(a.services, KindService, name)
}

// removeRoute removes a route and releases its host and prefix.
func (a *applier) removeRoute(name string) error {
	if old, ok := a.routes.table.get(byName(name)); ok {
		delete(a.routesByHostPrefix(), old.hostPrefix())
	}
	return removeRecord(a.routes, KindRoute, name)
}

// removeRecord removes a record, or returns *NotFound.
func removeRecord[T record](e *editor[T], kind Kind, name string) error {
	if !e.table.has(byName(name)) {
		return notFound(kind, name)
	}
	e.remove(byName(name))
	return nil
}

// removeTeam removes a team unless a list of permitted teams names it: a list
// that becomes empty would permit all teams. It also refuses to remove a team
// that ever had a key, so that a new team of the same name cannot reactivate
// old keys.
func (a *applier) removeTeam(name string) error {
	inUse := func(by string) error {
		return &InUse{
			Kind: KindTeam,
			Name: name,
			By:   by,
		}
	}
	for model := range a.models.table.all() {
		if slices.Contains(model.Teams, name) {
			return inUse("model " + model.Name)
		}
	}
	for adapter := range a.adapters.table.all() {
		if slices.Contains(adapter.Teams, name) {
			return inUse("adapter " + adapter.Name)
		}
	}
	for service := range a.services.table.all() {
		if slices.Contains(service.Teams, name) {
			return inUse("service " + service.Name)
		}
	}
	for key := range a.keys.table.all() {
		if key.Team == name {
			return inUse("key " + key.Name)
		}
	}
	return removeRecord(a.teams, KindTeam, name)
}

// removeModel removes a model unless an adapter extends it.
func (a *applier) removeModel(name string) error {
	for adapter := range a.adapters.table.all() {
		if adapter.Model == name {
			return &InUse{
				Kind: KindModel,
				Name: name,
				By:   "adapter " + adapter.Name,
			}
		}
	}
	return removeRecord(a.models, KindModel, name)
}
