package configurator

import (
	"encoding/json"
	"slices"
)

// Bounds of the history of recent acts, which is stored in the head.
const (
	// RecentActs is how many acts are kept to detect repeated requests.
	RecentActs = 256
	// CompleteActs is how many of the recent acts keep their operations.
	CompleteActs = 48
	// MaxActBytes is the largest encoded change, in bytes, that keeps its
	// operations in the history.
	MaxActBytes = 2048
)

// Apply returns the snapshot that results from the change. It is deterministic:
// the same change applied to equal snapshots gives equal digests on every
// instance, whichever withdrawals it knows. Errors are *NotFound,
// *AlreadyUsed, *Invalid, *InUse, *Repeated, *Malformed and *TooLarge; on an
// error nothing is changed.
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

// RaiseRevision returns the snapshot at the given revision if that is higher than its
// own, for a head that must supersede another head that was in force.
func (s *Snapshot) RaiseRevision(revision uint64) *Snapshot {
	if revision <= s.revision {
		return s
	}
	next := *s
	next.revision = revision
	return &next
}

// WithRevision returns the snapshot at the given revision and without acts, for a
// configuration whose revisions are numbered by another system.
func (s *Snapshot) WithRevision(revision uint64) *Snapshot {
	next := *s
	next.revision = revision
	next.acts = nil
	return &next
}

// appendAct adds a change to the history, drops the oldest acts above
// RecentActs, and drops the operations of large acts and of those that are no
// longer among the last CompleteActs.
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
	if oldest := len(kept) - CompleteActs - 1; oldest >= 0 {
		kept[oldest].Operations = nil
	}
	return kept
}

// checkSizes returns *TooLarge if a document that differs from the previous
// snapshot exceeds MaxDocumentBytes, since the store would reject it.
func (s *Snapshot) checkSizes(previous *Snapshot) error {
	documents, previousDocuments := s.Documents(), previous.Documents()
	for i, document := range documents {
		if document.Digest == previousDocuments[i].Digest {
			continue
		}
		kind, index, err := parseDocumentName(document.Name)
		if err != nil {
			return err
		}
		if length := s.encoder(kind).length(index); length > MaxDocumentBytes {
			return &TooLarge{
				Document: document.Name,
				Bytes:    length,
			}
		}
	}
	return nil
}
