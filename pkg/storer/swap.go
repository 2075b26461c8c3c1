package storer

// Swap holds the arguments of one compare-and-swap.
type Swap struct {
	// Key is the key of the entry to write.
	Key string
	// Value is the new value, at most MaxValueBytes long.
	Value []byte
	// Expected is the revision that the entry must still have; zero means that it must be absent.
	Expected Revision
	// Lease is the lease to attach the entry to; empty means none.
	Lease LeaseID
}
