package relayer

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

const (
	// readers is how many instances of a failure domain read the store, so that
	// one may fail.
	readers = 2
	// hurry is how many times as often these read: an entry waits for two pauses
	// on its way, theirs and that of the instance that asks them.
	hurry = 2
	// least is the number of instances of a failure domain above which passing on
	// takes fewer calls than reading alone.
	least = readers * hurry
)

// candidate is an instance that may read for others.
type candidate struct {
	peer  messenger.Peer
	share float64
	hash  uint64
}

// choose returns the instances that read for the failure domain, the first of
// which is asked first. It returns none if each reads for itself. Larger
// instances go first, and equal ones in an order on which all agree.
func choose(self string, peers []messenger.Peer, share func(string) float64) []messenger.Peer {
	if len(peers)+1 <= least {
		return nil
	}
	candidates := make([]candidate, 0, len(peers)+1)
	for _, peer := range append(slices.Clone(peers), messenger.Peer{
		Name: self,
	}) {
		candidates = append(candidates, candidate{
			peer:  peer,
			share: share(peer.Name),
			hash:  hash(peer.Name),
		})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.share, a.share), cmp.Compare(a.hash, b.hash))
	})
	chosen := make([]messenger.Peer, 0, readers)
	for _, one := range candidates[:readers] {
		chosen = append(chosen, one.peer)
	}
	return chosen
}

func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// spread rotates the readers so that one half of the instances asks each first.
func spread(self string, chosen []messenger.Peer) []messenger.Peer {
	if len(chosen) == 0 {
		return nil
	}
	first := int(hash(self) % uint64(len(chosen)))
	return append(slices.Clone(chosen[first:]), chosen[:first]...)
}
