package configurator

import (
	"encoding/json"
	"slices"
)

// The bounds of the ring of recent acts.
const (
	// RecentActs is how many acts are kept to recognise repeated requests.
	RecentActs = 256
	// CompleteActs is how many of them keep their operations.
	CompleteActs = 48
	// MaxActBytes is the longest act that keeps its operations, in bytes.
	MaxActBytes = 2048
)

// Apply returns the snapshot that the change makes. It is deterministic: the
// same change on equal snapshots gives equal digests everywhere, whatever
// withdrawals are known. Errors are *NotFound, *Used, *Invalid, *InUse,
// *Repeated, *Malformed and *TooLarge; none leaves a trace.
func (s *Snapshot) Apply(change Change) (*Snapshot, error) {
	if change.ID == "" {
		return nil, &Malformed{
			What: "change without identity",
		}
	}
	if act, ok := s.Act(change.ID); ok {
		return nil, &Repeated{
			ID:       change.ID,
			Revision: act.Revision,
		}
	}
	a := newApplier(s)
	for _, operation := range change.Operations {
		if err := a.apply(operation); err != nil {
			return nil, err
		}
	}
	next := a.snapshot()
	next.revision = s.revision + 1
	next.acts = appendAct(s.acts, change, next.revision)
	if err := next.checkSizes(s); err != nil {
		return nil, err
	}
	return next, nil
}

// Raise returns the snapshot at a higher revision, for a head that must
// supersede another one which was in force.
func (s *Snapshot) Raise(revision uint64) *Snapshot {
	if revision <= s.revision {
		return s
	}
	next := *s
	next.revision = revision
	return &next
}

// At returns the snapshot at a revision, without acts, for a configuration whose
// revisions others count.
func (s *Snapshot) At(revision uint64) *Snapshot {
	next := *s
	next.revision = revision
	next.acts = nil
	return &next
}

func appendAct(acts []Act, change Change, revision uint64) []Act {
	change.At = change.At.UTC().Round(0)
	act := Act{
		Change:   change,
		Revision: revision,
		Count:    len(change.Operations),
	}
	if encoded, err := json.Marshal(change); err != nil || len(encoded) > MaxActBytes {
		act.Operations = nil
	}
	if len(acts) >= RecentActs {
		acts = acts[len(acts)-RecentActs+1:]
	}
	kept := append(slices.Clone(acts), act)
	if old := len(kept) - CompleteActs - 1; old >= 0 {
		kept[old].Operations = nil
	}
	return kept
}

// checkSizes refuses a change that makes a document too large for the store.
func (s *Snapshot) checkSizes(before *Snapshot) error {
	own, old := s.Documents(), before.Documents()
	for i, document := range own {
		if document.Digest == old[i].Digest {
			continue
		}
		kind, place, err := parseDocumentName(document.Name)
		if err != nil {
			return err
		}
		if length := s.encoder(kind).length(place); length > MaxDocumentBytes {
			return &TooLarge{
				Document: document.Name,
				Bytes:    length,
			}
		}
	}
	return nil
}
