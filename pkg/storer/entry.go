package storer

// Entry is one key of the store with its value.
type Entry struct {
	// Key is the full key of the entry.
	Key string
	// Value is at most MaxValueBytes long.
	Value []byte
	// Revision is the revision of the last write to the entry.
	Revision Revision
	// Lease is the lease that the entry is attached to, or empty. The entry is
	// deleted when its lease ends.
	Lease LeaseID
}

// MaxValueBytes is the maximum size of a value that the store accepts, in bytes.
const MaxValueBytes = 1 << 20
