package configurator

import (
	"cmp"
	"strings"
)

// identity is the primary key of a record in its table. The second part is used
// only by versions and their withdrawals, whose first part is the model.
type identity struct {
	first  string
	second string
}

// compare orders identities by first part, then by second.
func (i identity) compare(other identity) int {
	if order := cmp.Compare(i.first, other.first); order != 0 {
		return order
	}
	return cmp.Compare(i.second, other.second)
}

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// shard returns the index of the shard that holds the identity. It hashes the
// first part only, so that all versions of a model are in one shard.
func (i identity) shard(shards int) int {
	hash := uint64(fnvOffset)
	for n := range len(i.first) {
		hash ^= uint64(i.first[n])
		hash *= fnvPrime
	}
	return int(hash % uint64(shards))
}

// byName returns the identity of a record that is identified by one string.
func byName(name string) identity {
	return identity{
		first: name,
	}
}

// record is implemented by every type that a table can hold.
type record interface {
	// identity returns the record's primary key.
	identity() identity
}

func (t Team) identity() identity { return byName(t.Name) }

// identity returns the key's hash, since every request looks a key up by hash;
// only operators look keys up by name.
func (k Key) identity() identity { return byName(k.Hash) }

func (m Model) identity() identity { return byName(m.Name) }

func (v Version) identity() identity {
	return identity{
		first:  v.Model,
		second: v.Name,
	}
}

func (a Adapter) identity() identity { return byName(a.Name) }

func (b Batch) identity() identity { return byName(b.Name) }

func (s Service) identity() identity { return byName(s.Name) }

func (u Upstream) identity() identity { return byName(u.Name) }

// identity returns the identity of the withdrawn record, except that a key is
// identified by its name. The name of a version is split at the last slash, since
// names of models may contain slashes.
func (w Withdrawal) identity() identity {
	slash := strings.LastIndexByte(w.Name, '/')
	if w.Subject != SubjectVersion || slash < 0 {
		return byName(w.Name)
	}
	return identity{
		first:  w.Name[:slash],
		second: w.Name[slash+1:],
	}
}
