package configurator

import (
	"bytes"
	"encoding/json"
	"slices"
)

// Head names the documents that make up the configuration at one revision, each
// by its digest. Documents are written to the platform's store first, each under a
// new key that is never overwritten; the head is swapped last, which makes a change
// atomic. Sets of withdrawals are overwritten in place; the head does not refer to
// them.
type Head struct {
	// Revision is the number of changes that were applied.
	Revision uint64 `json:"revision"`
	// Documents names every document of the configuration.
	Documents []StoredDocument `json:"documents"`
	// Acts are the most recent changes, oldest first.
	Acts []Act `json:"acts"`
	// Write is the unique ID of the write of this head. It resolves a write whose
	// answer was lost.
	Write string `json:"write,omitempty"`
	// Garbage lists stored documents that were replaced but not yet deleted.
	Garbage []Garbage `json:"garbage,omitempty"`
}

// StoredDocument is a document with its key in the platform's store.
type StoredDocument struct {
	Document
	// Key is the document's key in the store. A key is written once and never
	// overwritten. It is empty for empty documents, which are not stored.
	Key string `json:"key,omitempty"`
}

// Garbage is a stored document that was replaced. It can be deleted once no
// instance reads the older head any more.
type Garbage struct {
	// Key is the document's key in the platform's store.
	Key string `json:"key"`
	// Revision is the revision that replaced it.
	Revision uint64 `json:"revision"`
}

// DecodeHead parses a head from JSON. Errors are *Malformed.
func DecodeHead(data []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(data, &head); err != nil {
		return Head{}, &Malformed{
			What:  "head",
			Cause: err,
		}
	}
	return head, nil
}

// Encode returns the head as JSON. Errors are *Malformed.
func (h Head) Encode() ([]byte, error) {
	var buffer bytes.Buffer
	if err := json.NewEncoder(&buffer).Encode(h); err != nil {
		return nil, &Malformed{
			What:  "head",
			Cause: err,
		}
	}
	return buffer.Bytes(), nil
}

// Document returns the document with the given name.
func (h Head) Document(name string) (StoredDocument, bool) {
	for _, document := range h.Documents {
		if document.Name == name {
			return document, true
		}
	}
	return StoredDocument{}, false
}

// RefersTo reports whether the head refers to a store key, either as that of a
// document or as garbage.
func (h Head) RefersTo(key string) bool {
	return slices.ContainsFunc(h.Documents, func(document StoredDocument) bool { return document.Key == key }) ||
		slices.ContainsFunc(h.Garbage, func(garbage Garbage) bool { return garbage.Key == key })
}

// Act returns the recent act with the given request ID.
func (h Head) Act(id string) (Act, bool) { return findAct(h.Acts, id) }

// Head returns a head that describes the snapshot, without store keys.
func (s *Snapshot) Head() Head {
	head := Head{
		Revision: s.revision,
		Acts:     s.acts,
	}
	for _, document := range s.Documents() {
		head.Documents = append(head.Documents, StoredDocument{
			Document: document,
		})
	}
	return head
}

// Differing returns the documents of the head whose digest differs from the
// snapshot's.
func (s *Snapshot) Differing(head Head) []StoredDocument {
	documents := s.Documents()
	var differing []StoredDocument
	for _, document := range head.Documents {
		index := slices.IndexFunc(documents, func(d Document) bool { return d.Name == document.Name })
		if index < 0 || documents[index].Digest != document.Digest {
			differing = append(differing, document)
		}
	}
	return differing
}

// Assemble builds the snapshot that the head describes from this snapshot and the
// contents of the differing documents, by name. Withdrawals are kept. It returns
// *Mismatch unless every document has the digest that the head names.
func (s *Snapshot) Assemble(head Head, contents map[string][]byte) (*Snapshot, error) {
	next := *s
	for _, document := range s.Differing(head) {
		content, ok := contents[document.Name]
		if !ok && document.Digest == (Digest{}) {
			content = []byte("[]")
		} else if !ok {
			return nil, &Mismatch{
				Document: document.Name,
			}
		}
		if err := next.replace(document.Name, content); err != nil {
			return nil, err
		}
	}
	for _, document := range next.Documents() {
		expected, ok := head.Document(document.Name)
		if !ok || expected.Digest != document.Digest {
			return nil, &Mismatch{
				Document: document.Name,
			}
		}
	}
	next.revision = head.Revision
	next.acts = slices.Clone(head.Acts)
	return &next, nil
}
