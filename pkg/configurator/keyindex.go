package configurator

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
