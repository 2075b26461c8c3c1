package configurator

import (
	"strconv"
	"strings"
)

// MaxDocumentBytes is the largest document that a change may make.
const MaxDocumentBytes = 1_000_000

// Documents lists the documents that a snapshot consists of, withdrawals aside.
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
	kind, place, err := parseDocumentName(name)
	if err != nil {
		return nil, err
	}
	t := s.encoder(kind)
	if t == nil || place >= t.size() {
		return nil, &Malformed{
			What: "document name " + name,
		}
	}
	return t.encode(place)
}

// documentEncoder is the part of a table that does not depend on its records.
type documentEncoder interface {
	encode(place int) ([]byte, error)
	length(place int) int
	size() int
}

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

// replace exchanges one document in place; only Assemble may call it.
func (s *Snapshot) replace(name string, data []byte) error {
	kind, place, err := parseDocumentName(name)
	if err != nil {
		return err
	}
	if t := s.encoder(kind); t == nil || place >= t.size() {
		return &Malformed{
			What: "document name " + name,
		}
	}
	return s.decode(kind, place, data)
}

// decode exchanges the document at a place of a kind's table.
func (s *Snapshot) decode(kind Kind, place int, data []byte) (err error) {
	switch kind {
	case KindTeam:
		s.teams, err = s.teams.decode(place, data)
	case KindKey:
		s.keys, err = s.keys.decode(place, data)
	case KindModel:
		s.models, err = s.models.decode(place, data)
	case KindVersion:
		err = s.replaceVersions(place, data)
	case KindAdapter:
		s.adapters, err = s.adapters.decode(place, data)
	case KindBatch:
		s.batches, err = s.batches.decode(place, data)
	case KindService:
		s.services, err = s.services.decode(place, data)
	case KindUpstream:
		s.upstreams, err = s.upstreams.decode(place, data)
	case KindRoute:
		err = s.replaceRoutes(place, data)
	}
	return err
}

func (s *Snapshot) replaceVersions(place int, data []byte) error {
	versions, err := s.versions.decode(place, data)
	if err != nil {
		return err
	}
	s.setVersions(versions)
	return nil
}

func (s *Snapshot) replaceRoutes(place int, data []byte) error {
	routes, err := s.routes.decode(place, data)
	if err != nil {
		return err
	}
	s.setRoutes(routes)
	return nil
}

// parseDocumentName splits a name as in "adapter.3f".
func parseDocumentName(name string) (Kind, int, error) {
	kind, number, ok := strings.Cut(name, ".")
	place, err := strconv.ParseUint(number, 16, 8)
	if !ok || err != nil {
		return "", 0, &Malformed{
			What:  "document name",
			Cause: err,
		}
	}
	return Kind(kind), int(place), nil
}
