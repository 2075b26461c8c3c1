package spreader

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// storedHead is the store's head and the store revision that the next swap must expect.
type storedHead struct {
	head     configurator.Head
	revision storer.Revision
}

// readHead reads the store's head. A missing head is returned as an empty one.
func (s *Spreader) readHead(ctx context.Context) (storedHead, error) {
	entry, err := s.config.Store.Get(ctx, headKey)
	var absent *storer.Absent
	if errors.As(err, &absent) {
		return storedHead{}, nil
	}
	if err != nil {
		return storedHead{}, err
	}
	return decodeHead(entry)
}

// decodeHead decodes the head from its entry in the store.
func decodeHead(entry storer.Entry) (storedHead, error) {
	head, err := configurator.DecodeHead(entry.Value)
	return storedHead{
		head:     head,
		revision: entry.Revision,
	}, err
}

// findHead decodes the head among the store's entries. A missing head is returned as an empty
// one.
func findHead(entries []storer.Entry) (storedHead, error) {
	entry := headEntry(entries)
	if entry.Revision == 0 {
		return storedHead{}, nil
	}
	return decodeHead(entry)
}

// headEntry returns the entry of the head among the store's entries, or the zero entry if there
// is none.
func headEntry(entries []storer.Entry) storer.Entry {
	for _, entry := range entries {
		if entry.Key == headKey {
			return entry
		}
	}
	return storer.Entry{}
}

// publish commits a snapshot to the store: it writes the documents that the stored head lacks
// under new keys, and swaps the head last. The error is *storer.Conflict if another act was
// committed first, *superseded if one was committed after it, *NotAccepted or *UnknownOutcome.
func (s *Spreader) publish(ctx context.Context, stored storedHead, next *configurator.Snapshot, id string) error {
	head, written, err := s.writeDocuments(ctx, stored.head, next)
	if err != nil {
		s.discard(ctx, written)
		return notAccepted(id, err)
	}
	head.Write = rand.Text()
	value, err := head.Encode()
	if err != nil {
		return notAccepted(id, err)
	}
	if len(value) > storer.MaxValueBytes {
		return notAccepted(id, &configurator.TooLarge{
			Document: "head",
			Bytes:    len(value),
		})
	}
	entry, err := s.swapHead(ctx, storer.Swap{
		Key:      headKey,
		Value:    value,
		Expected: stored.revision,
	}, head.Write, id)
	var conflict *storer.Conflict
	if errors.As(err, &conflict) {
		s.retract(ctx, written, head.Revision, id)
		return err
	}
	if err != nil {
		return &UnknownOutcome{
			ID:    id,
			Cause: err,
		}
	}
	if !bytes.Equal(entry.Value, value) {
		return &superseded{}
	}
	s.collectGarbage(ctx, stored.head, head)
	return nil
}

// swapHead swaps the head. A swap without an answer is resolved by reading the head back: it
// took effect if the head contains the act or the identity of this write.
func (s *Spreader) swapHead(ctx context.Context, swap storer.Swap, write, id string) (storer.Entry, error) {
	if !s.guards.readBack {
		return s.config.Store.Swap(ctx, swap)
	}
	return s.config.Store.SwapIdentified(ctx, swap, func(value []byte) bool {
		head, err := configurator.DecodeHead(value)
		if err != nil {
			return false
		}
		_, ok := head.Act(id)
		return ok || head.Write == write
	})
}

// writeDocuments writes the documents that differ from the stored head. It returns the
// snapshot's head, with the stored keys of unchanged documents and new keys for the others,
// and the entries that it wrote.
func (s *Spreader) writeDocuments(
	ctx context.Context, stored configurator.Head, next *configurator.Snapshot,
) (head configurator.Head, written []storer.Entry, err error) {
	head = next.Head()
	for _, garbage := range stored.Garbage {
		if garbage.Revision+garbageAge > head.Revision {
			head.Garbage = append(head.Garbage, garbage)
		}
	}
	for i := range head.Documents {
		document := &head.Documents[i]
		old, known := stored.Document(document.Name)
		if known && old.Digest == document.Digest {
			document.Key = old.Key
			continue
		}
		if old.Key != "" {
			head.Garbage = append(head.Garbage, configurator.Garbage{
				Key:      old.Key,
				Revision: head.Revision,
			})
		}
		if document.Digest == (configurator.Digest{}) {
			continue
		}
		document.Key = fmt.Sprintf("%s%s/%d-%s", documentPrefix, document.Name, head.Revision, rand.Text())
		entry, err := s.writeDocument(ctx, next, *document)
		if err != nil {
			return configurator.Head{}, written, err
		}
		written = append(written, entry)
	}
	return head, written, nil
}

// retract deletes the documents of a head that lost its swap. Without an act (in a repair), a
// lost swap does not show whether the head was overwritten or never took effect. If it was
// overwritten, the later heads name its documents, as their own or, for some revisions, as
// replaced; these are kept.
func (s *Spreader) retract(ctx context.Context, written []storer.Entry, revision uint64, id string) {
	if id != "" {
		s.discard(ctx, written)
		return
	}
	stored, err := s.readHead(ctx)
	if err != nil || stored.head.Revision >= revision+garbageAge {
		return
	}
	s.discard(ctx, slices.DeleteFunc(written, func(entry storer.Entry) bool { return stored.head.RefersTo(entry.Key) }))
}

// discard deletes documents that no head names, because the swap did not take effect.
func (s *Spreader) discard(ctx context.Context, written []storer.Entry) {
	for _, entry := range written {
		_ = s.config.Store.Delete(ctx, entry.Key, entry.Revision)
	}
}

// writeDocument writes one document of a snapshot under its new key.
func (s *Spreader) writeDocument(
	ctx context.Context, next *configurator.Snapshot, document configurator.StoredDocument,
) (storer.Entry, error) {
	content, err := next.Encode(document.Name)
	if err != nil {
		return storer.Entry{}, err
	}
	return s.config.Store.SwapIdentified(ctx, storer.Swap{
		Key:   document.Key,
		Value: content,
	}, func(value []byte) bool { return bytes.Equal(value, content) })
}

// collectGarbage deletes documents that were replaced at least garbageAge revisions ago. Documents
// that it fails to delete stay in the store and do no harm.
func (s *Spreader) collectGarbage(ctx context.Context, stored, head configurator.Head) {
	for _, garbage := range stored.Garbage {
		if garbage.Revision+garbageAge > head.Revision {
			continue
		}
		entry, err := s.config.Store.Get(ctx, garbage.Key)
		if err == nil {
			_ = s.config.Store.Delete(ctx, garbage.Key, entry.Revision)
		}
	}
}

// fetchSnapshot returns the snapshot that a head describes. It applies the acts that the head
// contains if they suffice, and otherwise reads the differing documents from the store.
func (s *Spreader) fetchSnapshot(ctx context.Context, head configurator.Head) (*configurator.Snapshot, error) {
	current := s.Current()
	if next, ok := applyActs(current, head); ok {
		return next, nil
	}
	contents := map[string][]byte{}
	for _, document := range current.Differing(head) {
		if document.Key == "" {
			continue
		}
		entry, err := s.config.Store.Get(ctx, document.Key)
		var absent *storer.Absent
		if errors.As(err, &absent) {
			return nil, &documentReplaced{
				cause: err,
			}
		}
		if err != nil {
			return nil, err
		}
		contents[document.Name] = entry.Value
	}
	return current.Assemble(head, contents)
}

// applyActs applies the acts of the head that are newer than the snapshot. It returns false if
// they do not lead to the head's configuration.
func applyActs(snapshot *configurator.Snapshot, head configurator.Head) (*configurator.Snapshot, bool) {
	for _, act := range head.Acts {
		if act.Revision <= snapshot.Revision() {
			continue
		}
		if act.Revision != snapshot.Revision()+1 || !act.Complete() {
			return nil, false
		}
		next, err := snapshot.Apply(act.Change)
		if err != nil {
			return nil, false
		}
		snapshot = next
	}
	same := snapshot.Revision() == head.Revision && len(snapshot.Differing(head)) == 0
	return snapshot, same && sameActs(snapshot, head)
}

// sameActs reports whether the snapshot and the head contain the same recent acts, by their
// number and the last identity.
func sameActs(snapshot *configurator.Snapshot, head configurator.Head) bool {
	acts := snapshot.Acts()
	if len(acts) != len(head.Acts) {
		return false
	}
	return len(acts) == 0 || acts[len(acts)-1].ID == head.Acts[len(head.Acts)-1].ID
}
