package configurator

import (
	"encoding/json"
	"slices"
)

// shard is one partition of a table and the unit that is stored as one document.
// Its records are sorted by identity. It is immutable once its editor is done.
type shard[T record] struct {
	records []T
	// digest is the sum of the records' digests.
	digest Digest
	// bytes is the total length of the encoded records, without commas and
	// brackets.
	bytes int
}

// encodedBytes returns the length of the shard as a JSON array with at least one
// record.
func (s *shard[T]) encodedBytes() int { return s.bytes + len(s.records) + 1 }

// addTotals adds a record to the digest and the length.
func (s *shard[T]) addTotals(value T) {
	digest, length := digestRecord(value)
	s.digest = s.digest.plus(digest)
	s.bytes += length
}

// subtractTotals subtracts a record from the digest and the length.
func (s *shard[T]) subtractTotals(value T) {
	digest, length := digestRecord(value)
	s.digest = s.digest.minus(digest)
	s.bytes -= length
}

// search returns the index of the record with the identity, or else the index at
// which to insert it.
func (s *shard[T]) search(id identity) (int, bool) {
	low, high := 0, len(s.records)
	for low < high {
		middle := int(uint(low+high) >> 1)
		order := s.records[middle].identity().compare(id)
		if order == 0 {
			return middle, true
		}
		if order < 0 {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low, false
}

// get returns the record with the identity.
func (s *shard[T]) get(id identity) (T, bool) {
	if index, ok := s.search(id); ok {
		return s.records[index], true
	}
	var zero T
	return zero, false
}

// clone returns a copy with room for one more record.
func (s *shard[T]) clone() *shard[T] {
	return &shard[T]{
		records: append(make([]T, 0, len(s.records)+1), s.records...),
		digest:  s.digest,
		bytes:   s.bytes,
	}
}

// put inserts or replaces a record. It modifies the shard; only an editor that
// owns it may call it.
func (s *shard[T]) put(value T) {
	index, ok := s.search(value.identity())
	if ok {
		s.subtractTotals(s.records[index])
		s.records[index] = value
	} else {
		s.records = slices.Insert(s.records, index, value)
	}
	s.addTotals(value)
}

// remove removes a record if it exists. It modifies the shard; only an editor
// that owns it may call it.
func (s *shard[T]) remove(id identity) {
	index, ok := s.search(id)
	if !ok {
		return
	}
	s.subtractTotals(s.records[index])
	s.records = slices.Delete(s.records, index, index+1)
}

// encode returns the records as a JSON array.
func (s *shard[T]) encode() ([]byte, error) {
	if len(s.records) == 0 {
		return []byte("[]"), nil
	}
	return json.Marshal(s.records)
}

// decodeShard parses the shard with the given index. It refuses records that are
// out of order, duplicate or belong to another shard.
func decodeShard[T record](name string, data []byte, index, shards int) (*shard[T], error) {
	var records []T
	if err := json.Unmarshal(data, &records); err != nil {
		return nil, &Malformed{
			What:  "document " + name,
			Cause: err,
		}
	}
	intern(records)
	decoded := &shard[T]{
		records: append(make([]T, 0, len(records)), records...),
	}
	for i, value := range records {
		misplaced := value.identity().shard(shards) != index
		unordered := i > 0 && records[i-1].identity().compare(value.identity()) >= 0
		if misplaced || unordered {
			return nil, &Malformed{
				What: "order of document " + name,
			}
		}
		decoded.addTotals(value)
	}
	return decoded, nil
}
