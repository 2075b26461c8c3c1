package relayer

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

const (
	// readers is the number of instances of a failure domain that read the store; one of them may
	// fail.
	readers = 2
	// readerSpeedup is how many times as often the readers read as an instance on its own: an entry
	// waits for two pauses on its way, that of the reader and that of the instance that queries it.
	readerSpeedup = 2
	// maxUnrelayed is the largest number of instances of a failure domain that read on their own.
	// Relaying takes fewer calls only above it.
	maxUnrelayed = readers * readerSpeedup
)

// candidate is an instance that may read for others.
type candidate struct {
	peer  messenger.Peer
	share float64
	hash  uint64
}

// chooseReaders returns the instances that read for the failure domain, or none if each instance
// reads for itself. Larger instances come first, and equal ones in an order on which all instances
// agree.
func chooseReaders(self string, peers []messenger.Peer, share func(string) float64) []messenger.Peer {
	if len(peers)+1 <= maxUnrelayed {
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
	for _, c := range candidates[:readers] {
		chosen = append(chosen, c.peer)
	}
	return chosen
}

func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// rotateReaders rotates the readers depending on the instance's name, so that each reader is
// queried first by about half of the instances.
func rotateReaders(self string, chosen []messenger.Peer) []messenger.Peer {
	if len(chosen) == 0 {
		return nil
	}
	first := int(hash(self) % uint64(len(chosen)))
	return append(slices.Clone(chosen[first:]), chosen[:first]...)
}
