package tracker

import (
	"hash/fnv"
	"strconv"
	"time"
)

// record is the tracker's state of one member.
type record struct {
	member Member
	// watchedSince is the time since which this instance has sent heartbeats to the member; zero if
	// it sends none.
	watchedSince time.Time
	// changed is when the state last changed, by the local clock.
	changed time.Time
	// remainingSends is the number of further messages that will carry the last change.
	remainingSends int
	// listed is set while the platform's list contains the member.
	listed bool
	// calling is set while a heartbeat to the member is in progress.
	calling bool
	// sum is the record's contribution to the roster's digest.
	sum uint64
}

// silentSince is the time since which the member has not been heard from although heartbeats were
// sent to it.
func (r *record) silentSince() time.Time {
	if r.member.Heard.After(r.watchedSince) {
		return r.member.Heard
	}
	return r.watchedSince
}

// digest is the hash of a present member's name, incarnation and counter, for comparing views
// between instances; zero for absent members.
func (r *record) digest() uint64 {
	if !r.member.State.Present() || r.member.Incarnation == 0 {
		return 0
	}
	return hash(r.member.Peer.Name, strconv.FormatUint(r.member.Incarnation, 36), strconv.FormatUint(uint64(r.member.Counter), 36))
}

// hash is a well-mixed hash of the parts.
func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, part := range parts {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	x := h.Sum64()
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
