package tracker

import (
	"hash/fnv"
	"strconv"
	"time"
)

// record is the tracker's state of one member.
type record struct {
	member Member
	// monitoredSince is the time since which this instance has sent heartbeats to the member; zero
	// if it sends none.
	monitoredSince time.Time
	// changedAt is when the state last changed, by the local clock.
	changedAt time.Time
	// remainingSends is the number of further messages that will carry the last change.
	remainingSends int
	// listed is set while the platform's list contains the member.
	listed bool
	// calling is set while a heartbeat to the member is in progress.
	calling bool
	// contribution is the hash with which the record enters the roster's digest.
	contribution uint64
}

// silentSince is the time since which the member has not been heard from although heartbeats were
// sent to it.
func (r *record) silentSince() time.Time {
	if r.member.LastHeard.After(r.monitoredSince) {
		return r.member.LastHeard
	}
	return r.monitoredSince
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
