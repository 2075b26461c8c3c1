package configurator

import (
	"math"
	"strings"
)

// maxNameBytes is the maximum length of a name, in bytes.
const maxNameBytes = 200

// checkName returns *Invalid unless name is a valid name for a record.
func checkName(kind Kind, name string) error {
	if name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, unprintable) {
		return nil
	}
	return &Invalid{
		Kind:   kind,
		Name:   strings.ToValidUTF8(name, "?"),
		Field:  "name",
		Reason: "must have 1 to 200 bytes without spaces and control characters",
	}
}

// unprintable reports whether a rune is a space, a control character or the
// replacement of invalid UTF-8.
func unprintable(r rune) bool { return r <= ' ' || r == 0x7f || r == '\uFFFD' }

func invalid(kind Kind, name, field, reason string) error {
	return &Invalid{
		Kind:   kind,
		Name:   name,
		Field:  field,
		Reason: reason,
	}
}

func alreadyUsed(kind Kind, name string) error {
	return &AlreadyUsed{
		Kind: kind,
		Name: name,
	}
}

func notFound(kind Kind, name string) error {
	return &NotFound{
		Kind: kind,
		Name: name,
	}
}

// checkTeam validates a team's fields.
func (a *applier) checkTeam(team Team) error {
	if err := checkName(KindTeam, team.Name); err != nil {
		return err
	}
	if !(team.Rate >= 0) || math.IsInf(team.Rate, 0) {
		return invalid(KindTeam, team.Name, "rate", "must be zero or more")
	}
	if team.Priority < 0 {
		return invalid(KindTeam, team.Name, "priority", "must be zero or more")
	}
	if team.Charge < 0 {
		return invalid(KindTeam, team.Name, "charge", "must be zero or more")
	}
	if team.Burst < 0 {
		return invalid(KindTeam, team.Name, "burst", "must be zero or more")
	}
	return nil
}

// checkKey validates a key's fields and requires its team and batch to exist.
func (a *applier) checkKey(key Key) error {
	if err := checkName(KindKey, key.Name); err != nil {
		return err
	}
	if !validHash(key.Hash) {
		return invalid(KindKey, key.Name, "hash", "must be a SHA-256 in hexadecimal")
	}
	if !a.teams.table.has(byName(key.Team)) {
		return notFound(KindTeam, key.Team)
	}
	return a.checkBatchExists(key.Batch)
}

// checkBatchExists returns *NotFound if a record names a batch that does not
// exist. An empty name means no batch.
func (a *applier) checkBatchExists(batch string) error {
	if batch != "" && !a.batches.table.has(byName(batch)) {
		return notFound(KindBatch, batch)
	}
	return nil
}

// checkTeamsExist returns *NotFound for the first team that does not exist.
func (a *applier) checkTeamsExist(teams []string) error {
	for _, team := range teams {
		if !a.teams.table.has(byName(team)) {
			return notFound(KindTeam, team)
		}
	}
	return nil
}

// checkModel validates a model's fields and requires its version and teams to
// exist. Callers address models and adapters by name alone, so a model must not
// share its name with an adapter.
func (a *applier) checkModel(model Model) error {
	if err := checkName(KindModel, model.Name); err != nil {
		return err
	}
	if model.Replicas < 0 {
		return invalid(KindModel, model.Name, "replicas", "must be zero or more")
	}
	if model.AdapterBytes < 0 {
		return invalid(KindModel, model.Name, "adapterbytes", "must be zero or more")
	}
	if !(model.BytesPerToken >= 0) || math.IsInf(model.BytesPerToken, 0) {
		return invalid(KindModel, model.Name, "bytespertoken", "must be zero or more")
	}
	if a.adapters.table.has(byName(model.Name)) {
		return invalid(KindModel, model.Name, "name", "is the name of an adapter")
	}
	if model.Version != "" {
		id := identity{
			first:  model.Name,
			second: model.Version,
		}
		if !a.versions.table.has(id) {
			return notFound(KindVersion, model.Name+"/"+model.Version)
		}
	}
	return a.checkTeamsExist(model.Teams)
}

// checkVersion validates a version's fields and requires its model and batch to
// exist. Its name has no slash, since "model/version" is split at the last one.
func (a *applier) checkVersion(version Version) error {
	if err := checkName(KindVersion, version.Name); err != nil {
		return err
	}
	name := version.Model + "/" + version.Name
	if strings.Contains(version.Name, "/") {
		return invalid(KindVersion, name, "name", "must not contain a slash")
	}
	if !a.models.table.has(byName(version.Model)) {
		return notFound(KindModel, version.Model)
	}
	if checkName(KindVersion, version.Checkpoint) != nil {
		return invalid(KindVersion, name, "checkpoint", "must be named")
	}
	if version.Bytes < 0 {
		return invalid(KindVersion, name, "bytes", "must be zero or more")
	}
	return a.checkBatchExists(version.Batch)
}

// checkAdapter validates an adapter's fields, requires its model, teams and batch
// to exist, and refuses the name of a model.
func (a *applier) checkAdapter(adapter Adapter) error {
	if err := checkName(KindAdapter, adapter.Name); err != nil {
		return err
	}
	if !a.models.table.has(byName(adapter.Model)) {
		return notFound(KindModel, adapter.Model)
	}
	if a.models.table.has(byName(adapter.Name)) {
		return invalid(KindAdapter, adapter.Name, "name", "is the name of a model")
	}
	if adapter.Bytes < 0 {
		return invalid(KindAdapter, adapter.Name, "bytes", "must be zero or more")
	}
	if err := a.checkTeamsExist(adapter.Teams); err != nil {
		return err
	}
	return a.checkBatchExists(adapter.Batch)
}

func (a *applier) checkBatch(batch Batch) error { return checkName(KindBatch, batch.Name) }

// checkService validates a service's fields, requires its teams to exist, and
// refuses a path that another service has.
func (a *applier) checkService(service Service) error {
	if err := checkName(KindService, service.Name); err != nil {
		return err
	}
	if service.Path == "" {
		return a.checkTeamsExist(service.Teams)
	}
	if !strings.HasPrefix(service.Path, "/") {
		return invalid(KindService, service.Name, "path", "must start with a slash")
	}
	for other := range a.services.table.all() {
		if other.Path == service.Path && other.Name != service.Name {
			return invalid(KindService, service.Name, "path", "belongs to service "+other.Name)
		}
	}
	return a.checkTeamsExist(service.Teams)
}

// checkUpstream validates an upstream's fields.
func (a *applier) checkUpstream(upstream Upstream) error {
	if err := checkName(KindUpstream, upstream.Name); err != nil {
		return err
	}
	if upstream.Bytes < 0 {
		return invalid(KindUpstream, upstream.Name, "bytes", "must be zero or more")
	}
	return nil
}
