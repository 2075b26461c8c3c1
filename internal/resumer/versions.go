package resumer

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Prefix is the prefix of the keys of lists of versions; the rest of a key is the service's name.
const Prefix = "versions/"

const (
	// activationTime is how long a version is listed before it is used for streams, unless it is the only one.
	activationTime = 3500 * time.Millisecond
	// maxAge is the largest age of a list that is relied on. An answer of the store may be under way for as long as a call may
	// take, 2 s; with maxAge this is not longer than activationTime.
	maxAge = 1500 * time.Millisecond
	// retention is how long a version stays listed after its last engine has gone: longer than any stream lasts and
	// can be resumed.
	retention = 3 * time.Minute
)

// list is the stored list of the versions of one service, the latest last.
type list struct {
	Versions []string `json:"versions"`
}

// serviceVersions is what this instance knows of the versions of one service.
type serviceVersions struct {
	// list are the versions that may have begun a stream, the latest last.
	list list
	// stored and revision are the list in the store.
	stored   list
	revision storer.Revision
	// lastSince is when the last version of the list was first seen there.
	lastSince time.Time
	// missingSince holds the time since which no engine of a listed version has been known.
	missingSince map[string]time.Time
}

// decodeList decodes a stored list. It returns *Malformed.
func decodeList(value []byte) (list, error) {
	var stored list
	if err := json.Unmarshal(value, &stored); err != nil {
		return list{}, &Malformed{
			What:  "list of versions",
			Cause: err,
		}
	}
	return stored, nil
}

// apply takes over a stored list. One of a restored store may lack versions that were known and are used already.
func (s *serviceVersions) apply(stored list, revision storer.Revision, restored bool, now time.Time) {
	s.stored, s.revision = stored, revision
	next := slices.Clone(stored.Versions)
	if restored {
		for _, version := range slices.Backward(s.list.Versions) {
			if !slices.Contains(next, version) {
				next = slices.Insert(next, 0, version)
			}
		}
	}
	if len(next) > 0 && (len(s.list.Versions) == 0 || s.list.Versions[len(s.list.Versions)-1] != next[len(next)-1]) {
		s.lastSince = now
	}
	s.list.Versions = next
}

// settled reports whether the last version of the list is used for streams, too.
func (s *serviceVersions) settled(now time.Time) bool {
	return len(s.list.Versions) < 2 || now.Sub(s.lastSince) >= activationTime
}

// active returns the versions that are used for new streams.
func (s *serviceVersions) active(now time.Time) []string {
	versions := s.list.Versions
	if !s.settled(now) {
		versions = versions[:len(versions)-1]
	}
	return slices.Clone(versions)
}

// plan returns the list that should be stored, given the versions of the engines that are known, and whether it differs.
func (s *serviceVersions) plan(known []string, now time.Time) (list, bool) {
	next := list{
		Versions: slices.Clone(s.list.Versions),
	}
	if s.missingSince == nil {
		s.missingSince = map[string]time.Time{}
	}
	next.Versions = slices.DeleteFunc(next.Versions, func(version string) bool {
		if slices.Contains(known, version) {
			delete(s.missingSince, version)
			return false
		}
		if s.missingSince[version].IsZero() {
			s.missingSince[version] = now
		}
		return len(known) > 0 && now.Sub(s.missingSince[version]) >= retention
	})
	for _, version := range known {
		if s.settled(now) && !slices.Contains(next.Versions, version) {
			next.Versions = append(next.Versions, version)
			break // one at a time, so that only the last one may be new to others
		}
	}
	return next, !slices.Equal(next.Versions, s.stored.Versions)
}
