package evacuator

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/informer"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// State is what is known of one failure domain.
type State struct {
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Evacuated is set while its upstreams get no new requests.
	Evacuated bool `json:"evacuated"`
	// Revision is the store's revision at which this was so; a later one replaces it.
	Revision storer.Revision `json:"revision"`
	// Since is when this instance learned it.
	Since time.Time `json:"since"`
	// HeldUntil is, if a restored store lacks the operator's entry, until when the operator may write it again; else zero.
	HeldUntil time.Time `json:"held"`
}

// fact returns the state for other instances.
func (s State) fact() informer.Fact {
	kind := informer.Returned
	if s.Evacuated {
		kind = informer.Evacuated
	}
	return informer.Fact{
		Kind:     kind,
		Subject:  s.Domain,
		Revision: s.Revision,
		Seen:     s.Since,
	}
}

// over reports whether a state that a restored store lacks has ended.
func (s State) over(now time.Time) bool { return !s.HeldUntil.IsZero() && !now.Before(s.HeldUntil) }

// precedes reports whether the state follows from a write before that of another state. A restored store has written an
// entry of its copy again only if the entry's number is higher than any that was seen before.
func (s State) precedes(other State, restored bool) bool {
	if restored {
		return s.Revision.Number() <= other.Revision.Number()
	}
	return s.Revision <= other.Revision
}
