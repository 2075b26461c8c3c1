package tracker

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

const (
	// bridgeSenders is about how many instances of a domain send heartbeats to another domain in
	// each interval.
	bridgeSenders = 8
	// rotationIntervals is the number of intervals after which the rotating neighbour changes.
	rotationIntervals = 40
	// retryIntervals is the number of intervals between heartbeats to dead members.
	retryIntervals = 10
)

// targets returns the members that receive a heartbeat in this tick.
func (t *Tracker) targets(tick int, now time.Time) []Member {
	var targets []Member
	bridging := t.bridging(tick)
	for _, r := range t.allRosters() {
		members := r.view(t.config, now)
		var chosen []Member
		if r.own {
			chosen = t.neighbours(members, tick)
			r.monitor(nameSet(chosen), now)
		} else {
			chosen = t.bridges(members, tick)
			r.monitor(nameSet(chosen), now)
			if !bridging {
				continue
			}
		}
		chosen = append(chosen, t.retryTargets(members, tick)...)
		targets = append(targets, chosen...)
	}
	// A heartbeat and its answer update both sides, so members that were just heard from are
	// skipped.
	return slices.DeleteFunc(targets, func(m Member) bool {
		return now.Sub(m.LastHeard) < t.config.Interval/2
	})
}

// neighbours returns the members that follow this instance on the ring of name hashes, and one of
// the others that changes over time.
func (t *Tracker) neighbours(members []Member, tick int) []Member {
	members = slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !m.State.Present() })
	if len(members) <= t.config.Neighbours {
		return members
	}
	self := hash(t.config.Self.Name)
	members = sortByKey(members, func(m Member) uint64 { return hash(m.Peer.Name) - self })
	fixed := t.config.Neighbours - 1
	rest := members[fixed:]
	turn := (uint64(tick/rotationIntervals) + self) % uint64(len(rest))
	return append(members[:fixed:fixed], rest[turn])
}

// bridges returns the members of another domain that this instance sends heartbeats to. They change
// over time.
func (t *Tracker) bridges(members []Member, tick int) []Member {
	present := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !m.State.Present() })
	if len(present) <= t.config.Bridges {
		return present
	}
	turn := strconv.Itoa(tick / rotationIntervals / bridgeSenders)
	return sortByKey(present, func(m Member) uint64 { return hash(t.config.Self.Name, m.Peer.Name, turn) })[:t.config.Bridges]
}

// keyed is a member with its sort key.
type keyed struct {
	key    uint64
	member Member
}

// sortByKey sorts members by a key that is computed once per member.
func sortByKey(members []Member, key func(Member) uint64) []Member {
	all := make([]keyed, 0, len(members))
	for _, member := range members {
		all = append(all, keyed{
			key:    key(member),
			member: member,
		})
	}
	slices.SortFunc(all, func(a, b keyed) int { return cmp.Compare(a.key, b.key) })
	sorted := make([]Member, 0, len(all))
	for _, k := range all {
		sorted = append(sorted, k.member)
	}
	return sorted
}

// bridging reports whether it is this instance's turn to send heartbeats to other domains. Taking
// turns keeps the traffic between two domains independent of their sizes.
func (t *Tracker) bridging(tick int) bool {
	size := t.roster(t.config.Self.Domain).aliveCount() + 1
	turns := uint64((size + bridgeSenders - 1) / bridgeSenders)
	return (uint64(tick)+hash(t.config.Self.Name))%turns == 0
}

// retryTargets returns one dead member once in retryIntervals, since it may be running again.
func (t *Tracker) retryTargets(members []Member, tick int) []Member {
	if tick%retryIntervals != 0 {
		return nil
	}
	dead := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.State != Dead })
	if len(dead) == 0 {
		return nil
	}
	slices.SortFunc(dead, func(a, b Member) int { return cmp.Compare(a.Peer.Name, b.Peer.Name) })
	return []Member{dead[(tick/retryIntervals)%len(dead)]}
}

// seeds returns up to two peers to exchange complete views with: while joining, present members and
// configured peers; later, now and then, configured peers that are unknown or dead.
func (t *Tracker) seeds(tick int) []messenger.Peer {
	if t.joined.Load() && (tick%retryIntervals != 0 || len(t.config.ConfiguredPeers) == 0) {
		return nil
	}
	var seeds []messenger.Peer
	known := map[string]bool{
		t.config.Self.Name: true,
	}
	for _, member := range t.Members() {
		known[member.Peer.Name] = member.State != Dead
		if !t.joined.Load() && member.State.Present() {
			seeds = append(seeds, member.Peer)
		}
	}
	for name, address := range t.config.ConfiguredPeers {
		if !known[name] {
			seeds = append(seeds, messenger.Peer{
				Name:    name,
				Address: address,
			})
		}
	}
	if len(seeds) == 0 {
		return nil
	}
	slices.SortFunc(seeds, func(a, b messenger.Peer) int { return cmp.Compare(a.Name, b.Name) })
	first := seeds[tick%len(seeds)]
	second := seeds[(tick+1)%len(seeds)]
	if first == second {
		return []messenger.Peer{first}
	}
	return []messenger.Peer{first, second}
}

func nameSet(members []Member) map[string]bool {
	set := make(map[string]bool, len(members))
	for _, member := range members {
		set[member.Peer.Name] = true
	}
	return set
}
