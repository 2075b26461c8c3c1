package informer

import "github.com/buckthorngap/buckthorngap/internal/informer/informerpb"

// Kind is what a fact says.
type Kind int32

// The kinds of facts.
const (
	// Leaves says that a start of an upstream has told in an answer that it leaves.
	Leaves = Kind(informerpb.Kind_KIND_LEAVES)
	// Evacuated says that a failure domain is evacuated as of a revision of the store.
	Evacuated = Kind(informerpb.Kind_KIND_EVACUATED)
	// Returned says that a failure domain is not evacuated any more as of a revision of the store.
	Returned = Kind(informerpb.Kind_KIND_RETURNED)
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Leaves:
		return "leaves"
	case Evacuated:
		return "evacuated"
	case Returned:
		return "returned"
	default:
		return "unknown"
	}
}
