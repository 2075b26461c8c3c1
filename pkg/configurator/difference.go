package configurator

import "encoding/json"

// Difference describes one record that differs between two snapshots.
type Difference struct {
	// Kind is the kind of the record, or "withdrawal".
	Kind Kind
	// Name is the record's name; a version is written "model/version".
	Name string
	// Before is the record in the older snapshot as JSON; empty if it was absent.
	Before string
	// After is the record in the newer snapshot as JSON; empty if it is absent.
	After string
}

// kindWithdrawal is the Kind of a Difference between withdrawals.
const kindWithdrawal Kind = "withdrawal"

// Diff returns the records that differ between two snapshots. Shards with equal
// digests are skipped. The hashes of keys are omitted.
func Diff(before, after *Snapshot) []Difference {
	var differences []Difference
	differences = diffTables(differences, KindTeam, before.teams, after.teams)
	differences = diffTables(differences, KindKey, before.keys, after.keys)
	differences = diffTables(differences, KindModel, before.models, after.models)
	differences = diffTables(differences, KindVersion, before.versions, after.versions)
	differences = diffTables(differences, KindAdapter, before.adapters, after.adapters)
	differences = diffTables(differences, KindBatch, before.batches, after.batches)
	differences = diffTables(differences, KindService, before.services, after.services)
	differences = diffTables(differences, KindUpstream, before.upstreams, after.upstreams)
	differences = diffTables(differences, KindRoute, before.routes, after.routes)
	for i := range subjectOrder {
		differences = diffTables(differences, kindWithdrawal, before.withdrawals.tables[i], after.withdrawals.tables[i])
	}
	return differences
}

// diffTables appends the differences between two tables of the same kind.
func diffTables[T record](differences []Difference, kind Kind, before, after *table[T]) []Difference {
	for i := range before.shards {
		old, current := before.shards[i], after.shards[i]
		if old == current || old.digest == current.digest {
			continue
		}
		for _, value := range old.records {
			newer, ok := current.get(value.identity())
			if !ok {
				differences = append(differences, newDifference(kind, &value, nil))
			} else if encodeRecord(value) != encodeRecord(newer) {
				differences = append(differences, newDifference(kind, &value, &newer))
			}
		}
		for _, value := range current.records {
			if _, ok := old.get(value.identity()); !ok {
				differences = append(differences, newDifference(kind, nil, &value))
			}
		}
	}
	return differences
}

// newDifference describes a record that was added (before is nil), removed
// (after is nil) or changed.
func newDifference[T record](kind Kind, before, after *T) Difference {
	d := Difference{
		Kind: kind,
	}
	if before != nil {
		d.Name = nameOf(*before)
		d.Before = encodeRecord(*before)
	}
	if after != nil {
		d.Name = nameOf(*after)
		d.After = encodeRecord(*after)
	}
	return d
}

// nameOf returns the name of a record as shown to operators. A key is identified
// by its hash, but shown by its name.
func nameOf(value record) string {
	switch value := value.(type) {
	case Key:
		return value.Name
	case Version:
		return value.Model + "/" + value.Name
	case Withdrawal:
		return string(value.Subject) + " " + value.Name
	}
	return value.identity().first
}

// encodeRecord returns a record as JSON and omits the hash of a key.
func encodeRecord(value record) string {
	if key, ok := value.(Key); ok {
		key.Hash = ""
		value = key
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return string(encoded)
}
