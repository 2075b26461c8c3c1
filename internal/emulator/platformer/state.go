package platformer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/binder"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// state is the content of the store. Platform.mutex guards it.
type state struct {
	entries map[string]binder.Entry
	// deleted maps the deleted keys to the revisions of their deletion.
	deleted map[string]storer.Revision
	leases  map[storer.LeaseID]*lease
	// revision is the revision of the latest change.
	revision storer.Revision
	// granted is the number of leases granted so far.
	granted int
}

// lease is a lease in force, whose entries are deleted at its deadline unless it is renewed.
type lease struct {
	timeToLive time.Duration
	deadline   time.Time
}

func newState() *state {
	return &state{
		entries: map[string]binder.Entry{},
		deleted: map[string]storer.Revision{},
		leases:  map[storer.LeaseID]*lease{},
	}
}

// clone returns a deep copy, apart from the entries' values, which never change.
func (s *state) clone() *state {
	leases := map[storer.LeaseID]*lease{}
	for id, original := range s.leases {
		leases[id] = &lease{
			timeToLive: original.timeToLive,
			deadline:   original.deadline,
		}
	}
	return &state{
		entries:  maps.Clone(s.entries),
		deleted:  maps.Clone(s.deleted),
		leases:   leases,
		revision: s.revision,
		granted:  s.granted,
	}
}

// expireLeases ends the leases past their deadline and deletes the entries
// attached to them. It reports whether any lease ended.
func (s *state) expireLeases(now time.Time) bool {
	expired := false
	for id, current := range s.leases {
		if current.deadline.After(now) {
			continue
		}
		s.endLease(id)
		expired = true
	}
	return expired
}

// endLease removes a lease and deletes the entries attached to it.
func (s *state) endLease(id storer.LeaseID) {
	delete(s.leases, id)
	for key, entry := range s.entries {
		if entry.Lease == id {
			s.remove(key)
		}
	}
}

// remove deletes an entry at a new revision.
func (s *state) remove(key string) {
	s.revision++
	delete(s.entries, key)
	s.deleted[key] = s.revision
}

// list returns the entries under a prefix that changed after a revision, and the keys deleted after it.
func (s *state) list(prefix string, after storer.Revision) binder.ListAnswer {
	answer := binder.ListAnswer{
		Revision: s.revision,
	}
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if entry := s.entries[key]; strings.HasPrefix(key, prefix) && entry.Revision > after {
			answer.Entries = append(answer.Entries, entry)
		}
	}
	for key, at := range s.deleted {
		if strings.HasPrefix(key, prefix) && at > after {
			answer.Deleted = append(answer.Deleted, key)
		}
	}
	slices.Sort(answer.Deleted)
	return answer
}

// swap writes a value if the entry has the expected revision, where 0 stands for
// an absent entry, and attaches the entry to a lease if the request names one.
func (s *state) swap(request binder.SwapRequest) (binder.Entry, *binder.Failure) {
	if len(request.Value) > storer.MaxValueBytes {
		return binder.Entry{}, &binder.Failure{
			Code: binder.CodeTooLarge,
		}
	}
	if _, ok := s.leases[request.Lease]; request.Lease != "" && !ok {
		return binder.Entry{}, &binder.Failure{
			Code: binder.CodeLapsed,
		}
	}
	if current := s.entries[request.Key].Revision; current != request.Expected {
		return binder.Entry{}, &binder.Failure{
			Code:    binder.CodeConflict,
			Current: current,
		}
	}
	s.revision++
	entry := binder.Entry{
		Key:      request.Key,
		Value:    request.Value,
		Revision: s.revision,
		Lease:    request.Lease,
	}
	s.entries[request.Key] = entry
	delete(s.deleted, request.Key)
	return entry, nil
}

// deleteEntry deletes an entry if it has the expected revision.
func (s *state) deleteEntry(request binder.KeyRequest) *binder.Failure {
	entry, ok := s.entries[request.Key]
	if !ok {
		return &binder.Failure{
			Code: binder.CodeAbsent,
		}
	}
	if entry.Revision != request.Expected {
		return &binder.Failure{
			Code:    binder.CodeConflict,
			Current: entry.Revision,
		}
	}
	s.remove(request.Key)
	return nil
}

func (s *state) grant(timeToLive time.Duration, now time.Time) binder.LeaseAnswer {
	s.granted++
	id := storer.LeaseID(fmt.Sprintf("lease-%d-%d", s.granted, now.UnixNano()))
	s.leases[id] = &lease{
		timeToLive: timeToLive,
		deadline:   now.Add(timeToLive),
	}
	return binder.LeaseAnswer{
		Lease:        id,
		Milliseconds: timeToLive.Milliseconds(),
	}
}

func (s *state) renew(id storer.LeaseID, now time.Time) (binder.LeaseAnswer, *binder.Failure) {
	current, ok := s.leases[id]
	if !ok {
		return binder.LeaseAnswer{}, &binder.Failure{
			Code: binder.CodeLapsed,
		}
	}
	current.deadline = now.Add(current.timeToLive)
	return binder.LeaseAnswer{
		Lease:        id,
		Milliseconds: current.timeToLive.Milliseconds(),
	}, nil
}
