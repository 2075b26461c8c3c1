package router

import "sync"

const (
	// hintShards is the number of shards of the table.
	hintShards = 16
	// hintSlots is the number of slots in a shard, each for one prefix.
	hintSlots = 2048
)

// prefixHint names the upstream that likely caches a prefix.
type prefixHint struct {
	prefix uint64
	target *upstream
}

// hintShard is a part of the table with its own lock.
type hintShard struct {
	mu    sync.Mutex
	slots [hintSlots]prefixHint
}

// prefixHints is a fixed-size, sharded hash table from prefixes to the upstreams that
// likely cache them. On a collision the newer prefix replaces the older one.
type prefixHints struct {
	shards [hintShards]hintShard
}

func newPrefixHints() *prefixHints { return &prefixHints{} }

// slot returns the shard and the slot of a prefix.
func (h *prefixHints) slot(prefix uint64) (*hintShard, *prefixHint) {
	mixed := mix(prefix)
	shard := &h.shards[mixed%hintShards]
	return shard, &shard.slots[mixed/hintShards%hintSlots]
}

// get returns the upstream that likely caches a prefix, or nil.
func (h *prefixHints) get(prefix uint64) *upstream {
	shard, slot := h.slot(prefix)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if slot.prefix != prefix {
		return nil
	}
	return slot.target
}

// set records that an upstream stored or evicted a prefix.
func (h *prefixHints) set(prefix uint64, u *upstream, stored bool) {
	shard, slot := h.slot(prefix)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if stored {
		slot.prefix, slot.target = prefix, u
		return
	}
	if slot.prefix == prefix && slot.target == u {
		slot.target = nil
	}
}
