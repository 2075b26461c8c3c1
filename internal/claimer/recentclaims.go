package claimer

// recentClaims is a bounded table of the latest claims by their keys in the store. When it is full, put evicts the
// oldest claim.
type recentClaims struct {
	values map[string]claimValue
	// order is a ring buffer of the keys, and next the index that put writes next.
	order []string
	next  int
}

func newRecentClaims(size int) recentClaims {
	return recentClaims{
		values: make(map[string]claimValue),
		order:  make([]string, size),
	}
}

func (r *recentClaims) get(key string) (claimValue, bool) {
	existing, ok := r.values[key]
	return existing, ok
}

// put adds or replaces a claim.
func (r *recentClaims) put(key string, value claimValue) {
	if _, ok := r.values[key]; !ok {
		delete(r.values, r.order[r.next])
		r.order[r.next] = key
		r.next = (r.next + 1) % len(r.order)
	}
	r.values[key] = value
}

// remove removes a claim. Its slot in the ring buffer is left empty until it is reused.
func (r *recentClaims) remove(key string) {
	delete(r.values, key)
	for i := range r.order {
		index := (r.next - 1 - i + 2*len(r.order)) % len(r.order)
		if r.order[index] == key {
			r.order[index] = ""
			return
		}
	}
}
