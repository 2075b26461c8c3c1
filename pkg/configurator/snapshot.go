package configurator

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"iter"
)

// The numbers of documents that the records of a kind are divided over.
const (
	singleShard   = 1
	versionShards = 16
	keyShards     = 16
	adapterShards = 64
)

// HashBytes is the length of the hash of a key's secret, in bytes.
const HashBytes = sha256.Size

// Snapshot is the whole configuration at one revision, with all withdrawals
// that were known. It never changes; lookups do not allocate, but for the first
// one by checkpoint.
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
	paths       *routeIndex
	withdrawals *Withdrawals
}

// Empty returns the configuration before the first change.
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
		paths:       newRouteIndex(routes),
		withdrawals: NewWithdrawals(),
	}
}

// Revision numbers the changes that were applied.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Acts are the most recent changes, oldest first. The slice must not be changed.
func (s *Snapshot) Acts() []Act { return s.acts }

// Act returns the recent act with the given request identity.
func (s *Snapshot) Act(id string) (Act, bool) { return findAct(s.acts, id) }

// Team returns the team with the given name.
func (s *Snapshot) Team(name string) (Team, bool) { return s.teams.get(named(name)) }

// KeyByHash returns the key whose secret has the given SHA-256, withdrawn or not.
func (s *Snapshot) KeyByHash(hash [HashBytes]byte) (Key, bool) {
	var text [2 * HashBytes]byte
	hex.Encode(text[:], hash[:])
	return s.keys.getText(text[:])
}

// Key returns the key with the given name. It reads all keys.
func (s *Snapshot) Key(name string) (Key, bool) {
	for _, part := range s.keys.shards {
		for i := range part.records {
			if part.records[i].Name == name {
				return part.records[i], true
			}
		}
	}
	return Key{}, false
}

// Model returns the model with the given name.
func (s *Snapshot) Model(name string) (Model, bool) { return s.models.get(named(name)) }

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

// setVersions exchanges the versions in place; only those who make a snapshot
// may call it.
func (s *Snapshot) setVersions(versions *table[Version]) {
	if s.versions == versions {
		return
	}
	s.versions = versions
	s.checkpoints = newCheckpointIndex(versions)
}

// Adapter returns the adapter with the given name, withdrawn or not.
func (s *Snapshot) Adapter(name string) (Adapter, bool) { return s.adapters.get(named(name)) }

// Batch returns the batch with the given name, withdrawn or not.
func (s *Snapshot) Batch(name string) (Batch, bool) { return s.batches.get(named(name)) }

// Service returns the service with the given name.
func (s *Snapshot) Service(name string) (Service, bool) { return s.services.get(named(name)) }

// ServiceByPath returns the service with the longest prefix of the path.
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
func (s *Snapshot) Route(name string) (Route, bool) { return s.routes.get(named(name)) }

// RouteFor returns the route of a request: among those of its host, else among
// those of any host, the one with the longest prefix of the path.
func (s *Snapshot) RouteFor(host, path string) (Route, bool) { return s.paths.get(host, path) }

// setRoutes exchanges the routes in place; only those who make a snapshot may
// call it.
func (s *Snapshot) setRoutes(routes *table[Route]) {
	if s.routes == routes {
		return
	}
	s.routes = routes
	s.paths = newRouteIndex(routes)
}

// Upstream returns what operators say of the upstream with the given name.
func (s *Snapshot) Upstream(name string) (Upstream, bool) { return s.upstreams.get(named(name)) }

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

// Upstreams yields all upstreams that operators described.
func (s *Snapshot) Upstreams() iter.Seq[Upstream] { return s.upstreams.all() }

// Routes yields all routes.
func (s *Snapshot) Routes() iter.Seq[Route] { return s.routes.all() }

// Withdrawals returns all withdrawals that were known.
func (s *Snapshot) Withdrawals() *Withdrawals { return s.withdrawals }

// KeyWithdrawn tells whether the key or its batch was withdrawn.
func (s *Snapshot) KeyWithdrawn(key Key) bool {
	return s.withdrawals.hasName(SubjectKey, key.Name) || s.batchWithdrawn(key.Batch)
}

// VersionWithdrawn tells whether the version or its batch was withdrawn.
func (s *Snapshot) VersionWithdrawn(version Version) bool {
	return s.withdrawals.has(SubjectVersion, version.identity()) || s.batchWithdrawn(version.Batch)
}

// AdapterWithdrawn tells whether the adapter or its batch was withdrawn.
func (s *Snapshot) AdapterWithdrawn(adapter Adapter) bool {
	return s.withdrawals.hasName(SubjectAdapter, adapter.Name) || s.batchWithdrawn(adapter.Batch)
}

// Withdrawn tells whether the named thing itself was withdrawn, without
// regard to its batch.
func (s *Snapshot) Withdrawn(subject Subject, name string) bool {
	return s.withdrawals.Has(subject, name)
}

func (s *Snapshot) batchWithdrawn(batch string) bool {
	return batch != "" && s.withdrawals.hasName(SubjectBatch, batch)
}

// With returns the snapshot with further withdrawals.
func (s *Snapshot) With(withdrawals *Withdrawals) *Snapshot {
	merged := s.withdrawals.Union(withdrawals)
	if merged == s.withdrawals {
		return s
	}
	next := *s
	next.withdrawals = merged
	return &next
}

// Digest sums up the revision, the documents and the last act, without withdrawals.
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

func findAct(acts []Act, id string) (Act, bool) {
	for i := len(acts) - 1; i >= 0; i-- {
		if acts[i].ID == id {
			return acts[i], true
		}
	}
	return Act{}, false
}
