package configurator

import (
	"fmt"
	"iter"
	"slices"
)

// table is an immutable set of records of one type, partitioned into a fixed number
// of shards by a hash of the identity. Each shard is one document in the platform's
// store.
type table[T record] struct {
	// names are the names of the shards' documents.
	names  []string
	shards []*shard[T]
}

// newTable returns an empty table.
func newTable[T record](kind Kind, shards int) *table[T] {
	t := &table[T]{
		names:  make([]string, shards),
		shards: make([]*shard[T], shards),
	}
	for i := range t.shards {
		t.names[i] = documentName(kind, i)
		t.shards[i] = &shard[T]{}
	}
	return t
}

// get returns the record with the identity.
func (t *table[T]) get(id identity) (T, bool) {
	return t.shards[id.shard(len(t.shards))].get(id)
}

// getByBytes looks up a record whose identity is one string. It does not convert
// text to a string, so that it does not allocate. It repeats identity.shard and
// shard.search for that reason.
func (t *table[T]) getByBytes(text []byte) (T, bool) {
	hash := uint64(fnvOffset)
	for _, b := range text {
		hash ^= uint64(b)
		hash *= fnvPrime
	}
	sh := t.shards[hash%uint64(len(t.shards))]
	low, high := 0, len(sh.records)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if sh.records[middle].identity().first < string(text) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low < len(sh.records) && sh.records[low].identity().first == string(text) {
		return sh.records[low], true
	}
	var zero T
	return zero, false
}

// has reports whether the table has a record with the identity.
func (t *table[T]) has(id identity) bool {
	_, ok := t.get(id)
	return ok
}

// count returns the number of records.
func (t *table[T]) count() int {
	total := 0
	for _, s := range t.shards {
		total += len(s.records)
	}
	return total
}

// all yields the records by shard and identity.
func (t *table[T]) all() iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, s := range t.shards {
			for _, value := range s.records {
				if !yield(value) {
					return
				}
			}
		}
	}
}

// edit returns an editor that starts from the table.
func (t *table[T]) edit() *editor[T] {
	return &editor[T]{
		table: t,
	}
}

// documents calls yield with the name and digest of each shard's document.
func (t *table[T]) documents(yield func(name string, digest Digest)) {
	for i, s := range t.shards {
		yield(t.names[i], s.digest)
	}
}

// encode returns the document of a shard.
func (t *table[T]) encode(index int) ([]byte, error) { return t.shards[index].encode() }

// length returns the exact encoded length of a shard that is not empty, in bytes.
func (t *table[T]) length(index int) int { return t.shards[index].encodedBytes() }

// size returns the number of shards.
func (t *table[T]) size() int { return len(t.shards) }

// decode returns a table in which one shard is replaced by the content of a
// document.
func (t *table[T]) decode(index int, data []byte) (*table[T], error) {
	decoded, err := decodeShard[T](t.names[index], data, index, len(t.shards))
	if err != nil {
		return nil, err
	}
	shards := slices.Clone(t.shards)
	shards[index] = decoded
	return &table[T]{
		names:  t.names,
		shards: shards,
	}, nil
}

// documentName returns the name of a shard's document, as in "adapter.3f".
func documentName(kind Kind, index int) string { return fmt.Sprintf("%s.%02x", kind, index) }

// editor makes a modified copy of a table. It copies shards on their first write;
// the other shards are shared with the original.
type editor[T record] struct {
	// table is the original until the first write, then the modified copy.
	table *table[T]
	// owned marks the shards that were copied; nil until the first write.
	owned []bool
}

// ownedShard returns the shard of an identity, copied so that it can be modified.
func (e *editor[T]) ownedShard(id identity) *shard[T] {
	if e.owned == nil {
		e.owned = make([]bool, len(e.table.shards))
		e.table = &table[T]{
			names:  e.table.names,
			shards: slices.Clone(e.table.shards),
		}
	}
	index := id.shard(len(e.table.shards))
	if !e.owned[index] {
		e.owned[index] = true
		e.table.shards[index] = e.table.shards[index].clone()
	}
	return e.table.shards[index]
}

// put inserts or replaces a record.
func (e *editor[T]) put(value T) { e.ownedShard(value.identity()).put(value) }

// remove removes a record if it exists.
func (e *editor[T]) remove(id identity) { e.ownedShard(id).remove(id) }
