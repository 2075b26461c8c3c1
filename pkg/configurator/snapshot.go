package configurator

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"iter"
)

// Numbers of shards, and so of documents, per kind of record.
const (
	singleShard   = 1
	versionShards = 16
	keyShards     = 16
	adapterShards = 64
)

// HashBytes is the length of the hash of a key's secret, in bytes.
const HashBytes = sha256.Size

// Snapshot is the full configuration at one revision, together with the
// withdrawals known at that time. It is immutable. Lookups do not allocate, except
// that the first lookup by checkpoint and the first by host and path each build an
// index.
type Snapshot struct {
	revision    uint64
	acts        []Act
	teams       *table[Team]
	keys        *table[Key]
	models      *table[Model]
	versions    *table[Version]
	checkpoints *checkpointIndex
	adapters    *table[Adapter]
	batches     *table[Batch]
	services    *table[Service]
	upstreams   *table[Upstream]
	routes      *table[Route]
	routeIndex  *routeIndex
	withdrawals *Withdrawals
}

// Empty returns a configuration without records, at revision 0.
func Empty() *Snapshot {
	versions := newTable[Version](KindVersion, versionShards)
	routes := newTable[Route](KindRoute, singleShard)
	return &Snapshot{
		teams:       newTable[Team](KindTeam, singleShard),
		keys:        newTable[Key](KindKey, keyShards),
		models:      newTable[Model](KindModel, singleShard),
		versions:    versions,
		checkpoints: newCheckpointIndex(versions),
		adapters:    newTable[Adapter](KindAdapter, adapterShards),
		batches:     newTable[Batch](KindBatch, singleShard),
		services:    newTable[Service](KindService, singleShard),
		upstreams:   newTable[Upstream](KindUpstream, singleShard),
		routes:      routes,
		routeIndex:  newRouteIndex(routes),
		withdrawals: NewWithdrawals(),
	}
}

// Revision returns the number of changes that were applied.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Acts returns the most recent changes, oldest first. The slice must not be
// modified.
func (s *Snapshot) Acts() []Act { return s.acts }

// Act returns the recent act with the given request ID.
func (s *Snapshot) Act(id string) (Act, bool) { return findAct(s.acts, id) }

// Team returns the team with the given name.
func (s *Snapshot) Team(name string) (Team, bool) { return s.teams.get(byName(name)) }

// KeyByHash returns the key whose secret has the given SHA-256, withdrawn or not.
func (s *Snapshot) KeyByHash(hash [HashBytes]byte) (Key, bool) {
	var text [2 * HashBytes]byte
	hex.Encode(text[:], hash[:])
	return s.keys.getByBytes(text[:])
}

// Key returns the key with the given name, by a scan over all keys.
func (s *Snapshot) Key(name string) (Key, bool) {
	for _, sh := range s.keys.shards {
		for i := range sh.records {
			if sh.records[i].Name == name {
				return sh.records[i], true
			}
		}
	}
	return Key{}, false
}

// Model returns the model with the given name.
func (s *Snapshot) Model(name string) (Model, bool) { return s.models.get(byName(name)) }

// Version returns a version of a model, withdrawn or not.
func (s *Snapshot) Version(model, name string) (Version, bool) {
	return s.versions.get(identity{
		first:  model,
		second: name,
	})
}

// VersionByCheckpoint returns a version whose checkpoint has the given name,
// withdrawn or not.
func (s *Snapshot) VersionByCheckpoint(checkpoint string) (Version, bool) {
	return s.checkpoints.get(checkpoint)
}

// setVersions replaces the versions and their index. It modifies s; only code that
// is still building the snapshot may call it.
func (s *Snapshot) setVersions(versions *table[Version]) {
	if s.versions == versions {
		return
	}
	s.versions = versions
	s.checkpoints = newCheckpointIndex(versions)
}

// Adapter returns the adapter with the given name, withdrawn or not.
func (s *Snapshot) Adapter(name string) (Adapter, bool) { return s.adapters.get(byName(name)) }

// Batch returns the batch with the given name, withdrawn or not.
func (s *Snapshot) Batch(name string) (Batch, bool) { return s.batches.get(byName(name)) }

// Service returns the service with the given name.
func (s *Snapshot) Service(name string) (Service, bool) { return s.services.get(byName(name)) }

// ServiceByPath returns the service whose path is the longest prefix of the given
// path.
func (s *Snapshot) ServiceByPath(path string) (Service, bool) {
	records := s.services.shards[0].records
	best := -1
	for i := range records {
		prefix := records[i].Path
		if prefix == "" || len(path) < len(prefix) || path[:len(prefix)] != prefix {
			continue
		}
		if best < 0 || len(prefix) > len(records[best].Path) {
			best = i
		}
	}
	if best < 0 {
		return Service{}, false
	}
	return records[best], true
}

// Route returns the route with the given name.
func (s *Snapshot) Route(name string) (Route, bool) { return s.routes.get(byName(name)) }

// RouteFor returns the route of a request: the one with the longest matching
// prefix among those of its host, or else among those without a host.
func (s *Snapshot) RouteFor(host, path string) (Route, bool) { return s.routeIndex.get(host, path) }

// setRoutes replaces the routes and their index. It modifies s; only code that is
// still building the snapshot may call it.
func (s *Snapshot) setRoutes(routes *table[Route]) {
	if s.routes == routes {
		return
	}
	s.routes = routes
	s.routeIndex = newRouteIndex(routes)
}

// Upstream returns the operators' configuration of the upstream with the given
// name.
func (s *Snapshot) Upstream(name string) (Upstream, bool) { return s.upstreams.get(byName(name)) }

// Teams yields all teams.
func (s *Snapshot) Teams() iter.Seq[Team] { return s.teams.all() }

// Keys yields all keys, withdrawn ones included.
func (s *Snapshot) Keys() iter.Seq[Key] { return s.keys.all() }

// Models yields all models.
func (s *Snapshot) Models() iter.Seq[Model] { return s.models.all() }

// Versions yields all versions, withdrawn ones included.
func (s *Snapshot) Versions() iter.Seq[Version] { return s.versions.all() }

// Adapters yields all adapters, withdrawn ones included.
func (s *Snapshot) Adapters() iter.Seq[Adapter] { return s.adapters.all() }

// Batches yields all batches, withdrawn ones included.
func (s *Snapshot) Batches() iter.Seq[Batch] { return s.batches.all() }

// Services yields all services.
func (s *Snapshot) Services() iter.Seq[Service] { return s.services.all() }

// Upstreams yields all upstreams that operators configured.
func (s *Snapshot) Upstreams() iter.Seq[Upstream] { return s.upstreams.all() }

// Routes yields all routes.
func (s *Snapshot) Routes() iter.Seq[Route] { return s.routes.all() }

// Withdrawals returns the withdrawals known to the snapshot.
func (s *Snapshot) Withdrawals() *Withdrawals { return s.withdrawals }

// KeyWithdrawn reports whether the key or its batch was withdrawn.
func (s *Snapshot) KeyWithdrawn(key Key) bool {
	return s.withdrawals.hasName(SubjectKey, key.Name) || s.batchWithdrawn(key.Batch)
}

// VersionWithdrawn reports whether the version or its batch was withdrawn.
func (s *Snapshot) VersionWithdrawn(version Version) bool {
	return s.withdrawals.has(SubjectVersion, version.identity()) || s.batchWithdrawn(version.Batch)
}

// AdapterWithdrawn reports whether the adapter or its batch was withdrawn.
func (s *Snapshot) AdapterWithdrawn(adapter Adapter) bool {
	return s.withdrawals.hasName(SubjectAdapter, adapter.Name) || s.batchWithdrawn(adapter.Batch)
}

// Withdrawn reports whether the named record itself was withdrawn, regardless of
// its batch.
func (s *Snapshot) Withdrawn(subject Subject, name string) bool {
	return s.withdrawals.Has(subject, name)
}

// batchWithdrawn reports whether the batch was withdrawn; an empty name means no
// batch.
func (s *Snapshot) batchWithdrawn(batch string) bool {
	return batch != "" && s.withdrawals.hasName(SubjectBatch, batch)
}

// WithWithdrawals returns the snapshot with the given withdrawals added to its own.
func (s *Snapshot) WithWithdrawals(withdrawals *Withdrawals) *Snapshot {
	merged := s.withdrawals.Union(withdrawals)
	if merged == s.withdrawals {
		return s
	}
	next := *s
	next.withdrawals = merged
	return &next
}

// Digest returns a hash of the revision, the digests of the documents and the ID
// of the last act. It does not cover withdrawals.
func (s *Snapshot) Digest() Digest {
	hash := sha256.New()
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], s.revision)
	_, _ = hash.Write(number[:])
	for _, document := range s.Documents() {
		_, _ = hash.Write(document.Digest[:])
	}
	if len(s.acts) > 0 {
		_, _ = hash.Write([]byte(s.acts[len(s.acts)-1].ID))
	}
	return Digest(hash.Sum(nil))
}

// findAct searches for an act by request ID, newest first.
func findAct(acts []Act, id string) (Act, bool) {
	for i := len(acts) - 1; i >= 0; i-- {
		if acts[i].ID == id {
			return acts[i], true
		}
	}
	return Act{}, false
}
