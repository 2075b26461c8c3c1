package configurator

import (
	"encoding/json"
	"iter"
	"slices"
)

// withdrawalShards is the number of shards, and so of documents, per subject.
const withdrawalShards = 16

// Withdrawals is an immutable set of withdrawals. Withdrawals are never deleted, so
// any two sets are merged by union, regardless of their age.
type Withdrawals struct {
	// tables holds one table per subject, in the order of subjectOrder.
	tables [4]*table[Withdrawal]
}

var subjectOrder = [4]Subject{SubjectKey, SubjectVersion, SubjectAdapter, SubjectBatch}

// NewWithdrawals returns the empty set.
func NewWithdrawals() *Withdrawals {
	w := &Withdrawals{}
	for i, subject := range subjectOrder {
		w.tables[i] = newTable[Withdrawal](Kind(subject), withdrawalShards)
	}
	return w
}

// table returns the table of a subject, or nil for an unknown subject.
func (w *Withdrawals) table(subject Subject) *table[Withdrawal] {
	for i := range subjectOrder {
		if subjectOrder[i] == subject {
			return w.tables[i]
		}
	}
	return nil
}

// Has reports whether the named record was withdrawn.
func (w *Withdrawals) Has(subject Subject, name string) bool {
	return w.has(subject, Withdrawal{
		Subject: subject,
		Name:    name,
	}.identity())
}

// hasName is Has for subjects that are identified by one string.
func (w *Withdrawals) hasName(subject Subject, name string) bool {
	return w.has(subject, byName(name))
}

// has reports whether the record with the identity was withdrawn.
func (w *Withdrawals) has(subject Subject, id identity) bool {
	t := w.table(subject)
	return t != nil && t.has(id)
}

// Count returns the number of withdrawals.
func (w *Withdrawals) Count() int {
	total := 0
	for _, t := range w.tables {
		total += t.count()
	}
	return total
}

// All yields all withdrawals.
func (w *Withdrawals) All() iter.Seq[Withdrawal] {
	return func(yield func(Withdrawal) bool) {
		for _, t := range w.tables {
			for value := range t.all() {
				if !yield(value) {
					return
				}
			}
		}
	}
}

// Add returns the set with the given withdrawals added, or the same set if nothing
// changes. Of two withdrawals of the same record the earlier one is kept. If any
// withdrawal is invalid, it returns the unmodified set and *Invalid.
func (w *Withdrawals) Add(values ...Withdrawal) (*Withdrawals, error) {
	next := *w
	changed := false
	for _, value := range values {
		normalized, err := value.normalize()
		if err != nil {
			return w, err
		}
		index := slices.Index(subjectOrder[:], normalized.Subject)
		if old, ok := next.tables[index].get(normalized.identity()); ok && !normalized.before(old) {
			continue
		}
		editor := next.tables[index].edit()
		editor.put(normalized)
		next.tables[index] = editor.table
		changed = true
	}
	if !changed {
		return w, nil
	}
	return &next, nil
}

// Union returns the union of both sets, or the same set if the other adds
// nothing.
func (w *Withdrawals) Union(other *Withdrawals) *Withdrawals {
	if other == nil || w == other {
		return w
	}
	merged, err := w.Add(w.Missing(other)...)
	if err != nil {
		// Unreachable: the withdrawals in a set were validated when they were added.
		panic(err)
	}
	return merged
}

// Missing returns the withdrawals of other that this set lacks or that precede its
// own withdrawal of the same record (see before). Shards with equal digests are
// skipped.
func (w *Withdrawals) Missing(other *Withdrawals) []Withdrawal {
	var missing []Withdrawal
	for i, t := range other.tables {
		for index, sh := range t.shards {
			own := w.tables[i].shards[index]
			if own == sh || own.digest == sh.digest {
				continue
			}
			for _, value := range sh.records {
				if old, ok := own.get(value.identity()); !ok || value.before(old) {
					missing = append(missing, value)
				}
			}
		}
	}
	return missing
}

// Documents returns the names and digests of the documents that the set consists
// of.
func (w *Withdrawals) Documents() []Document {
	var documents []Document
	for _, t := range w.tables {
		t.documents(func(name string, digest Digest) {
			documents = append(documents, Document{
				Name:   name,
				Digest: digest,
			})
		})
	}
	return documents
}

// Digest returns the digest of the whole set.
func (w *Withdrawals) Digest() Digest {
	var sum Digest
	for _, t := range w.tables {
		for _, sh := range t.shards {
			sum = sum.plus(sh.digest)
		}
	}
	return sum
}

// Encode returns the content of the document with the given name. It returns
// *Malformed if there is no such document.
func (w *Withdrawals) Encode(name string) ([]byte, error) {
	kind, index, err := parseDocumentName(name)
	if err != nil {
		return nil, err
	}
	t := w.table(Subject(kind))
	if t == nil || index >= t.size() {
		return nil, &Malformed{
			What: "document name " + name,
		}
	}
	return t.encode(index)
}

// Decode returns the set with the withdrawals in a document added. Errors are
// *Malformed and *Invalid.
func (w *Withdrawals) Decode(data []byte) (*Withdrawals, error) {
	var values []Withdrawal
	if err := json.Unmarshal(data, &values); err != nil {
		return w, &Malformed{
			What:  "withdrawals",
			Cause: err,
		}
	}
	return w.Add(values...)
}

// before orders withdrawals of the same record by time, then by operator, so that
// every instance keeps the same one.
func (w Withdrawal) before(other Withdrawal) bool {
	if !w.At.Equal(other.At) {
		return w.At.Before(other.At)
	}
	return w.Operator < other.Operator
}

// normalize validates a withdrawal and makes its encoding the same on every
// instance.
func (w Withdrawal) normalize() (Withdrawal, error) {
	if !slices.Contains(subjectOrder[:], w.Subject) {
		return w, &Invalid{
			Kind:   Kind(w.Subject),
			Name:   w.Name,
			Field:  "subject",
			Reason: "must be key, version, adapter or batch",
		}
	}
	id := w.identity()
	if id.first == "" || (w.Subject == SubjectVersion && id.second == "") {
		return w, &Invalid{
			Kind:   Kind(w.Subject),
			Name:   w.Name,
			Field:  "name",
			Reason: "is incomplete",
		}
	}
	w.At = w.At.UTC().Round(0)
	return w, nil
}
