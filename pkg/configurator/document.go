package configurator

import (
	"strconv"
	"strings"
)

// MaxDocumentBytes is the maximum size of a document that results from a change.
const MaxDocumentBytes = 1_000_000

// Document identifies one document of the configuration and its content.
type Document struct {
	// Name is unique among the documents of a snapshot.
	Name string `json:"name"`
	// Digest is the digest of the document's records.
	Digest Digest `json:"digest"`
}

// Documents returns the names and digests of the documents that a snapshot
// consists of, except those of withdrawals.
func (s *Snapshot) Documents() []Document {
	documents := make([]Document, 0, 6*singleShard+versionShards+keyShards+adapterShards)
	add := func(name string, digest Digest) {
		documents = append(documents, Document{
			Name:   name,
			Digest: digest,
		})
	}
	s.teams.documents(add)
	s.keys.documents(add)
	s.models.documents(add)
	s.versions.documents(add)
	s.adapters.documents(add)
	s.batches.documents(add)
	s.services.documents(add)
	s.upstreams.documents(add)
	s.routes.documents(add)
	return documents
}

// Encode returns the content of the document with the given name. It returns
// *Malformed if there is no such document.
func (s *Snapshot) Encode(name string) ([]byte, error) {
	kind, index, err := parseDocumentName(name)
	if err != nil {
		return nil, err
	}
	t := s.encoder(kind)
	if t == nil || index >= t.size() {
		return nil, &Malformed{
			What: "document name " + name,
		}
	}
	return t.encode(index)
}

// documentEncoder is the part of a table that does not depend on its record type.
// Its index parameters are indices of shards.
type documentEncoder interface {
	// encode returns the document of a shard.
	encode(index int) ([]byte, error)
	// length returns the encoded length of a shard that is not empty, in bytes.
	length(index int) int
	// size returns the number of shards.
	size() int
}

// encoder returns the table of a kind, or nil for an unknown kind.
func (s *Snapshot) encoder(kind Kind) documentEncoder {
	switch kind {
	case KindTeam:
		return s.teams
	case KindKey:
		return s.keys
	case KindModel:
		return s.models
	case KindVersion:
		return s.versions
	case KindAdapter:
		return s.adapters
	case KindBatch:
		return s.batches
	case KindService:
		return s.services
	case KindUpstream:
		return s.upstreams
	case KindRoute:
		return s.routes
	}
	return nil
}

// replace replaces the content of one document and modifies s; only Assemble may
// call it, on its own copy.
func (s *Snapshot) replace(name string, data []byte) error {
	kind, index, err := parseDocumentName(name)
	if err != nil {
		return err
	}
	if t := s.encoder(kind); t == nil || index >= t.size() {
		return &Malformed{
			What: "document name " + name,
		}
	}
	return s.decode(kind, index, data)
}

// decode replaces the shard with the given index in a kind's table by the records
// in data.
func (s *Snapshot) decode(kind Kind, index int, data []byte) (err error) {
	switch kind {
	case KindTeam:
		s.teams, err = s.teams.decode(index, data)
	case KindKey:
		s.keys, err = s.keys.decode(index, data)
	case KindModel:
		s.models, err = s.models.decode(index, data)
	case KindVersion:
		err = s.replaceVersions(index, data)
	case KindAdapter:
		s.adapters, err = s.adapters.decode(index, data)
	case KindBatch:
		s.batches, err = s.batches.decode(index, data)
	case KindService:
		s.services, err = s.services.decode(index, data)
	case KindUpstream:
		s.upstreams, err = s.upstreams.decode(index, data)
	case KindRoute:
		err = s.replaceRoutes(index, data)
	}
	return err
}

// replaceVersions replaces one shard of the versions and resets the checkpoint
// index.
func (s *Snapshot) replaceVersions(index int, data []byte) error {
	versions, err := s.versions.decode(index, data)
	if err != nil {
		return err
	}
	s.setVersions(versions)
	return nil
}

// replaceRoutes replaces one shard of the routes and resets the route index.
func (s *Snapshot) replaceRoutes(index int, data []byte) error {
	routes, err := s.routes.decode(index, data)
	if err != nil {
		return err
	}
	s.setRoutes(routes)
	return nil
}

// parseDocumentName splits a name such as "adapter.3f" into the kind and the
// index of the shard.
func parseDocumentName(name string) (Kind, int, error) {
	kind, number, ok := strings.Cut(name, ".")
	index, err := strconv.ParseUint(number, 16, 8)
	if !ok || err != nil {
		return "", 0, &Malformed{
			What:  "document name",
			Cause: err,
		}
	}
	return Kind(kind), int(index), nil
}
