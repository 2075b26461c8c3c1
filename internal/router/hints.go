package router

import "sync"

const (
	hintShards = 16
	// hintSlots is the number of prefixes in a shard.
	hintSlots = 2048
)

// hint names the upstream that likely caches a prefix.
type hint struct {
	prefix uint64
	target *upstream
}

// hintShard is a part of the table with a lock of its own.
type hintShard struct {
	mu    sync.Mutex
	slots [hintSlots]hint
}

// hints is a fixed-size, sharded hash table from prefixes to the upstreams that
// likely cache them. On a collision the newer prefix replaces the older one.
type hints struct {
	shards [hintShards]hintShard
}

func newHints() *hints { return &hints{} }

// slot returns the shard and the slot of a prefix.
func (h *hints) slot(prefix uint64) (*hintShard, *hint) {
	mixed := mix(prefix)
	shard := &h.shards[mixed%hintShards]
	return shard, &shard.slots[mixed/hintShards%hintSlots]
}

// get returns the upstream that likely caches a prefix, or nil.
func (h *hints) get(prefix uint64) *upstream {
	shard, slot := h.slot(prefix)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if slot.prefix != prefix {
		return nil
	}
	return slot.target
}

// set records that an upstream stored or evicted a prefix.
func (h *hints) set(prefix uint64, u *upstream, stored bool) {
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
