package configurator

import "encoding/json"

// Difference is one record that two snapshots hold differently.
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

// kindWithdrawal is the kind of the differences between withdrawals.
const kindWithdrawal Kind = "withdrawal"

// Diff lists what differs between two snapshots. Shards that they share are
// passed over. Hashes of keys are left out.
func Diff(before, after *Snapshot) []Difference {
	var found []Difference
	found = diffTables(found, KindTeam, before.teams, after.teams)
	found = diffTables(found, KindKey, before.keys, after.keys)
	found = diffTables(found, KindModel, before.models, after.models)
	found = diffTables(found, KindVersion, before.versions, after.versions)
	found = diffTables(found, KindAdapter, before.adapters, after.adapters)
	found = diffTables(found, KindBatch, before.batches, after.batches)
	found = diffTables(found, KindService, before.services, after.services)
	found = diffTables(found, KindUpstream, before.upstreams, after.upstreams)
	found = diffTables(found, KindRoute, before.routes, after.routes)
	for i := range subjectOrder {
		found = diffTables(found, kindWithdrawal, before.withdrawals.subjects[i], after.withdrawals.subjects[i])
	}
	return found
}

func diffTables[T record](found []Difference, kind Kind, before, after *table[T]) []Difference {
	for i := range before.shards {
		old, current := before.shards[i], after.shards[i]
		if old == current || old.digest == current.digest {
			continue
		}
		for _, value := range old.records {
			newer, ok := current.get(value.identity())
			if !ok {
				found = append(found, difference(kind, &value, nil))
			} else if show(value) != show(newer) {
				found = append(found, difference(kind, &value, &newer))
			}
		}
		for _, value := range current.records {
			if _, ok := old.get(value.identity()); !ok {
				found = append(found, difference(kind, nil, &value))
			}
		}
	}
	return found
}

func difference[T record](kind Kind, before, after *T) Difference {
	d := Difference{
		Kind: kind,
	}
	if before != nil {
		d.Name = nameOf(*before)
		d.Before = show(*before)
	}
	if after != nil {
		d.Name = nameOf(*after)
		d.After = show(*after)
	}
	return d
}

// nameOf is the name that operators know a record by.
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

// show encodes a record without the hash of a key.
func show(value record) string {
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
