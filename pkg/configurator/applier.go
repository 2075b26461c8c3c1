package configurator

import (
	"encoding/hex"
	"reflect"
	"strings"
)

// applier applies the operations of one change to copy-on-write editors of a
// snapshot's tables. The base snapshot is never modified.
type applier struct {
	base      *Snapshot
	teams     *editor[Team]
	keys      *editor[Key]
	models    *editor[Model]
	versions  *editor[Version]
	adapters  *editor[Adapter]
	batches   *editor[Batch]
	services  *editor[Service]
	upstreams *editor[Upstream]
	routes    *editor[Route]
	// routeNames maps the host and prefix of each route to its name. It is nil until
	// the change first puts or removes a route.
	routeNames map[string]string
	// newKeyNames holds the names of the keys that this change creates. The keys table
	// is indexed by hash, so it cannot be queried for them.
	newKeyNames map[string]bool
}

// newApplier returns an applier that starts from the records of s.
func newApplier(s *Snapshot) *applier {
	return &applier{
		base:        s,
		teams:       s.teams.edit(),
		keys:        s.keys.edit(),
		models:      s.models.edit(),
		versions:    s.versions.edit(),
		adapters:    s.adapters.edit(),
		batches:     s.batches.edit(),
		services:    s.services.edit(),
		upstreams:   s.upstreams.edit(),
		routes:      s.routes.edit(),
		newKeyNames: map[string]bool{},
	}
}

// snapshot returns a copy of the base snapshot with the edited tables.
func (a *applier) snapshot() *Snapshot {
	next := *a.base
	next.teams = a.teams.table
	next.keys = a.keys.table
	next.models = a.models.table
	next.setVersions(a.versions.table)
	next.adapters = a.adapters.table
	next.batches = a.batches.table
	next.services = a.services.table
	next.upstreams = a.upstreams.table
	next.setRoutes(a.routes.table)
	return &next
}

// apply checks one operation and carries it out on the editors.
func (a *applier) apply(operation Operation) error {
	if operation.recordCount() != 1 {
		return &Malformed{
			What: "operation that does not name exactly one record",
		}
	}
	switch operation.Action {
	case ActionCreate, ActionPut:
		return a.put(operation)
	case ActionRemove:
		return a.remove(operation)
	}
	return &Malformed{
		What: "action " + string(operation.Action),
	}
}

// recordCount returns how many of the operation's records are set.
func (o Operation) recordCount() int {
	count := 0
	for _, isSet := range []bool{
		o.Team != nil, o.Key != nil, o.Model != nil, o.Version != nil,
		o.Adapter != nil, o.Batch != nil, o.Service != nil, o.Upstream != nil, o.Route != nil,
	} {
		if isSet {
			count++
		}
	}
	return count
}

// put creates or replaces the record of an operation.
func (a *applier) put(operation Operation) error {
	create := operation.Action == ActionCreate
	switch {
	case operation.Team != nil:
		return putRecord(a.teams, KindTeam, operation.Team.Name, *operation.Team, create, a.checkTeam)
	case operation.Key != nil:
		return a.putKey(*operation.Key, create)
	case operation.Model != nil:
		return putRecord(a.models, KindModel, operation.Model.Name, *operation.Model, create, a.checkModel)
	case operation.Version != nil:
		version := *operation.Version
		return putOnce(a.versions, KindVersion, version.Model+"/"+version.Name, version, create, a.checkVersion)
	case operation.Adapter != nil:
		return putRecord(a.adapters, KindAdapter, operation.Adapter.Name, *operation.Adapter, create, a.checkAdapter)
	case operation.Batch != nil:
		return putOnce(a.batches, KindBatch, operation.Batch.Name, *operation.Batch, create, a.checkBatch)
	case operation.Service != nil:
		return putRecord(a.services, KindService, operation.Service.Name, *operation.Service, create, a.checkService)
	case operation.Route != nil:
		return a.putRoute(*operation.Route, create)
	}
	return putRecord(a.upstreams, KindUpstream, operation.Upstream.Name, *operation.Upstream, create, a.checkUpstream)
}

// putRecord writes a record of a kind that may be replaced. With create set, it
// fails if the identity exists.
func putRecord[T record](e *editor[T], kind Kind, name string, value T, create bool, check func(T) error) error {
	if create && e.table.has(value.identity()) {
		return alreadyUsed(kind, name)
	}
	if err := check(value); err != nil {
		return err
	}
	e.put(value)
	return nil
}

// putOnce writes a record of a kind that is never replaced. Putting an equal
// record again does nothing, unless create is set.
func putOnce[T record](e *editor[T], kind Kind, name string, value T, create bool, check func(T) error) error {
	if old, ok := e.table.get(value.identity()); ok {
		if !create && reflect.DeepEqual(old, value) {
			return nil
		}
		return alreadyUsed(kind, name)
	}
	if err := check(value); err != nil {
		return err
	}
	e.put(value)
	return nil
}

// putKey adds a key. It fails if the name or the hash already belongs to
// another key.
func (a *applier) putKey(key Key, create bool) error {
	key.Hash = strings.ToLower(key.Hash)
	old, exists := a.keys.table.get(key.identity())
	if _, nameExists := a.base.Key(key.Name); !exists && (nameExists || a.newKeyNames[key.Name]) {
		return alreadyUsed(KindKey, key.Name)
	}
	if exists && old.Name != key.Name {
		return alreadyUsed(KindKey, old.Name)
	}
	if err := putOnce(a.keys, KindKey, key.Name, key, create, a.checkKey); err != nil {
		return err
	}
	a.newKeyNames[key.Name] = true
	return nil
}

// validHash reports whether text is a SHA-256 in hexadecimal.
func validHash(text string) bool {
	decoded, err := hex.DecodeString(text)
	return err == nil && len(decoded) == HashBytes
}
