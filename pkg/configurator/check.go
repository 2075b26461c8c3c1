package configurator

import (
	"math"
	"strings"
)

// maxNameBytes is the longest name, in bytes.
const maxNameBytes = 200

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

func unprintable(letter rune) bool { return letter <= ' ' || letter == 0x7f || letter == '\uFFFD' }

func invalid(kind Kind, name, field, reason string) error {
	return &Invalid{
		Kind:   kind,
		Name:   name,
		Field:  field,
		Reason: reason,
	}
}

func used(kind Kind, name string) error {
	return &Used{
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

func (a *applier) checkKey(key Key) error {
	if err := checkName(KindKey, key.Name); err != nil {
		return err
	}
	if !validHash(key.Hash) {
		return invalid(KindKey, key.Name, "hash", "must be a SHA-256 in hexadecimal")
	}
	if !a.teams.table.has(named(key.Team)) {
		return notFound(KindTeam, key.Team)
	}
	return a.checkMembership(key.Batch)
}

func (a *applier) checkMembership(batch string) error {
	if batch != "" && !a.batches.table.has(named(batch)) {
		return notFound(KindBatch, batch)
	}
	return nil
}

func (a *applier) checkTeams(teams []string) error {
	for _, team := range teams {
		if !a.teams.table.has(named(team)) {
			return notFound(KindTeam, team)
		}
	}
	return nil
}

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
	if a.adapters.table.has(named(model.Name)) {
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
	return a.checkTeams(model.Teams)
}

func (a *applier) checkVersion(version Version) error {
	if err := checkName(KindVersion, version.Name); err != nil {
		return err
	}
	name := version.Model + "/" + version.Name
	if strings.Contains(version.Name, "/") {
		return invalid(KindVersion, name, "name", "must not contain a slash")
	}
	if !a.models.table.has(named(version.Model)) {
		return notFound(KindModel, version.Model)
	}
	if checkName(KindVersion, version.Checkpoint) != nil {
		return invalid(KindVersion, name, "checkpoint", "must be named")
	}
	if version.Bytes < 0 {
		return invalid(KindVersion, name, "bytes", "must be zero or more")
	}
	return a.checkMembership(version.Batch)
}

func (a *applier) checkAdapter(adapter Adapter) error {
	if err := checkName(KindAdapter, adapter.Name); err != nil {
		return err
	}
	if !a.models.table.has(named(adapter.Model)) {
		return notFound(KindModel, adapter.Model)
	}
	if a.models.table.has(named(adapter.Name)) {
		return invalid(KindAdapter, adapter.Name, "name", "is the name of a model")
	}
	if adapter.Bytes < 0 {
		return invalid(KindAdapter, adapter.Name, "bytes", "must be zero or more")
	}
	if err := a.checkTeams(adapter.Teams); err != nil {
		return err
	}
	return a.checkMembership(adapter.Batch)
}

func (a *applier) checkBatch(batch Batch) error { return checkName(KindBatch, batch.Name) }

func (a *applier) checkService(service Service) error {
	if err := checkName(KindService, service.Name); err != nil {
		return err
	}
	if service.Path == "" {
		return a.checkTeams(service.Teams)
	}
	if !strings.HasPrefix(service.Path, "/") {
		return invalid(KindService, service.Name, "path", "must start with a slash")
	}
	for other := range a.services.table.all() {
		if other.Path == service.Path && other.Name != service.Name {
			return invalid(KindService, service.Name, "path", "belongs to service "+other.Name)
		}
	}
	return a.checkTeams(service.Teams)
}

func (a *applier) checkUpstream(upstream Upstream) error {
	if err := checkName(KindUpstream, upstream.Name); err != nil {
		return err
	}
	if upstream.Bytes < 0 {
		return invalid(KindUpstream, upstream.Name, "bytes", "must be zero or more")
	}
	return nil
}
