package holder

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/buckthorngap/buckthorngap/internal/tracker"
)

// score is an instance's weight for a duty in rendezvous hashing; the highest is the most
// preferred.
func score(duty, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(duty))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	x := h.Sum64()
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// ranked returns the members in descending order of preference for the duty.
func ranked(duty string, members []tracker.Member) []tracker.Member {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b tracker.Member) int {
		return cmp.Compare(score(duty, b.Peer.Name), score(duty, a.Peer.Name))
	})
	return members
}

// rank is the number of members that are preferred over the named instance for the duty.
func rank(duty, name string, members []tracker.Member) int {
	before := 0
	own := score(duty, name)
	for _, member := range members {
		if score(duty, member.Peer.Name) > own {
			before++
		}
	}
	return before
}
