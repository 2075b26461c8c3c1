package configurator

import "iter"

// Records yields all records of a kind, each in an operation without an action.
// It returns nil for an unknown kind.
func (s *Snapshot) Records(kind Kind) iter.Seq[Operation] {
	switch kind {
	case KindTeam:
		return operationsOf(s.Teams(), setTeam)
	case KindKey:
		return operationsOf(s.Keys(), setKey)
	case KindModel:
		return operationsOf(s.Models(), setModel)
	case KindVersion:
		return operationsOf(s.Versions(), setVersion)
	case KindAdapter:
		return operationsOf(s.Adapters(), setAdapter)
	case KindBatch:
		return operationsOf(s.Batches(), setBatch)
	case KindService:
		return operationsOf(s.Services(), setService)
	case KindUpstream:
		return operationsOf(s.Upstreams(), setUpstream)
	case KindRoute:
		return operationsOf(s.Routes(), setRoute)
	}
	return nil
}

// operationsOf yields an operation for each value; set stores a copy of the value
// in the operation's field for its kind.
func operationsOf[T any](values iter.Seq[T], set func(*Operation, *T)) iter.Seq[Operation] {
	return func(yield func(Operation) bool) {
		for value := range values {
			var operation Operation
			set(&operation, &value)
			if !yield(operation) {
				return
			}
		}
	}
}

func setTeam(o *Operation, value *Team) { o.Team = value }

func setKey(o *Operation, value *Key) { o.Key = value }

func setModel(o *Operation, value *Model) { o.Model = value }

func setVersion(o *Operation, value *Version) { o.Version = value }

func setAdapter(o *Operation, value *Adapter) { o.Adapter = value }

func setBatch(o *Operation, value *Batch) { o.Batch = value }

func setService(o *Operation, value *Service) { o.Service = value }

func setUpstream(o *Operation, value *Upstream) { o.Upstream = value }

func setRoute(o *Operation, value *Route) { o.Route = value }

// setModelWithoutVersion sets a model and clears its version, which may not exist
// yet.
func setModelWithoutVersion(o *Operation, value *Model) {
	value.Version = ""
	o.Model = value
}

// RecordWithdrawn reports whether the record of an operation, or its batch, was
// withdrawn.
func (s *Snapshot) RecordWithdrawn(operation Operation) bool {
	switch {
	case operation.Key != nil:
		return s.KeyWithdrawn(*operation.Key)
	case operation.Version != nil:
		return s.VersionWithdrawn(*operation.Version)
	case operation.Adapter != nil:
		return s.AdapterWithdrawn(*operation.Adapter)
	case operation.Batch != nil:
		return s.batchWithdrawn(operation.Batch.Name)
	}
	return false
}

// RecordExists reports whether the snapshot has the record that a withdrawal names.
func (s *Snapshot) RecordExists(withdrawal Withdrawal) bool {
	switch withdrawal.Subject {
	case SubjectKey:
		_, ok := s.Key(withdrawal.Name)
		return ok
	case SubjectVersion:
		return s.versions.has(withdrawal.identity())
	case SubjectAdapter:
		return s.adapters.has(withdrawal.identity())
	case SubjectBatch:
		return s.batches.has(withdrawal.identity())
	}
	return false
}
