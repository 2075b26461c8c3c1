package claimer

// recent is a bounded table of the latest claims by name. order is a ring buffer of the names; put evicts the
// oldest.
type recent struct {
	marks map[string]mark
	order []string
	next  int
}

func newRecent(size int) recent {
	return recent{
		marks: make(map[string]mark),
		order: make([]string, size),
	}
}

func (r *recent) get(name string) (mark, bool) {
	existing, ok := r.marks[name]
	return existing, ok
}

// put adds or replaces a claim.
func (r *recent) put(name string, value mark) {
	if _, ok := r.marks[name]; !ok {
		delete(r.marks, r.order[r.next])
		r.order[r.next] = name
		r.next = (r.next + 1) % len(r.order)
	}
	r.marks[name] = value
}

// remove removes a claim. Its slot in the ring buffer is left empty until it is reused.
func (r *recent) remove(name string) {
	delete(r.marks, name)
	for i := range r.order {
		index := (r.next - 1 - i + 2*len(r.order)) % len(r.order)
		if r.order[index] == name {
			r.order[index] = ""
			return
		}
	}
}
