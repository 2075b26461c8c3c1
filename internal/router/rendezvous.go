package router

// rendezvous returns the candidate with the highest hash for a key (rendezvous hashing), or nil if there
// are no candidates.
func rendezvous(candidates []*upstream, key uint64) *upstream {
	var best *upstream
	var highest uint64
	for _, u := range candidates {
		if hash := mix(u.hash ^ key); best == nil || hash > highest {
			best, highest = u, hash
		}
	}
	return best
}

// mix spreads the bits of a hash with the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hashString returns the 64-bit FNV-1a hash of a text. All instances must compute the same hash.
func hashString(text string) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * 1099511628211
	}
	return hash
}
