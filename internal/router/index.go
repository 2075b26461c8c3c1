package router

// index holds the upstreams that accept new requests, and those that are in evacuated failure domains. It is immutable; a
// change builds a new one.
type index struct {
	accepting catalog
	evacuated catalog
}

func newIndex() *index {
	return &index{
		accepting: newCatalog(),
		evacuated: newCatalog(),
	}
}

// candidates returns the upstreams that accept new requests and have the checkpoint or run the service of a request.
func (i *index) candidates(need *Need) []*upstream { return i.accepting.candidates(need) }

// add adds an upstream unless it gets no new requests for another reason than its failure domain.
func (i *index) add(u *upstream) {
	switch {
	case !u.leaving():
		i.accepting.add(u)
	case u.evacuated.Load():
		i.evacuated.add(u)
	}
}
