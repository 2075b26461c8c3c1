package operator

import (
	"cmp"
	"context"
	"iter"
	"slices"
	"strings"

	"github.com/buckthorngap/buckthorngap/internal/operator/operatorpb"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// maxListRecords is both the default and the maximum number of records in a ListAnswer.
const maxListRecords = 1000

// list handles the List call: it returns one page of the records of one kind, without the hashes of keys.
func (s *Server) list(_ context.Context, request *operatorpb.ListRequest) (*operatorpb.ListAnswer, error) {
	snapshot := s.config.Spreader.Current()
	limit := int(request.GetLimit())
	if limit <= 0 || limit > maxListRecords {
		limit = maxListRecords
	}
	records := recordsToProto(snapshot, configurator.Kind(request.GetKind()))
	if records == nil {
		return nil, &Malformed{
			What: "kind of record",
		}
	}
	answer := &operatorpb.ListAnswer{
		Revision: snapshot.Revision(),
	}
	position := 0
	for record := range records {
		position++
		if position <= int(request.GetOffset()) {
			continue
		}
		if len(answer.Records) == limit {
			answer.More = true
			break
		}
		answer.Records = append(answer.Records, record)
	}
	return answer, nil
}

// recordsToProto returns the records of one kind in wire form, without the hashes of keys, or nil if the kind is unknown.
func recordsToProto(snapshot *configurator.Snapshot, kind configurator.Kind) iter.Seq[*operatorpb.Record] {
	operations := snapshot.Records(kind)
	if operations == nil {
		return nil
	}
	return func(yield func(*operatorpb.Record) bool) {
		for operation := range operations {
			record := recordToProto(operation)
			record.Withdrawn = snapshot.RecordWithdrawn(operation)
			if key := record.GetKey(); key != nil {
				key.Hash = ""
			}
			if !yield(record) {
				return
			}
		}
	}
}

// history handles the History call: it returns recent acts and all withdrawals, oldest first.
func (s *Server) history(_ context.Context, _ *operatorpb.HistoryRequest) (*operatorpb.HistoryAnswer, error) {
	snapshot := s.config.Spreader.Current()
	answer := &operatorpb.HistoryAnswer{}
	for _, act := range snapshot.Acts() {
		message := &operatorpb.Act{
			Id:       act.ID,
			Operator: act.Operator,
			At:       act.At.UnixNano(),
			Revision: act.Revision,
			Count:    int32(act.Count),
		}
		for _, operation := range act.Operations {
			message.Operations = append(message.Operations, operation.String())
		}
		answer.Acts = append(answer.Acts, message)
	}
	for withdrawal := range snapshot.Withdrawals().All() {
		answer.Acts = append(answer.Acts, &operatorpb.Act{
			Operator:   withdrawal.Operator,
			At:         withdrawal.At.UnixNano(),
			Operations: []string{"withdraw " + string(withdrawal.Subject) + " " + withdrawal.Name},
			Count:      1,
		})
	}
	slices.SortStableFunc(answer.Acts, func(a, b *operatorpb.Act) int {
		return cmp.Or(cmp.Compare(a.GetAt(), b.GetAt()), strings.Compare(a.GetId(), b.GetId()))
	})
	return answer, nil
}

// diff handles the Diff call: it compares an exported file or a retained revision with a later revision.
func (s *Server) diff(_ context.Context, request *operatorpb.DiffRequest) (*operatorpb.DiffAnswer, error) {
	before, err := s.olderSnapshot(request)
	if err != nil {
		return nil, err
	}
	after, err := s.snapshotOrCurrent(request.GetTo())
	if err != nil {
		return nil, err
	}
	answer := &operatorpb.DiffAnswer{}
	for _, difference := range configurator.Diff(before, after) {
		answer.Differences = append(answer.Differences, &operatorpb.Difference{
			Kind:   string(difference.Kind),
			Name:   difference.Name,
			Before: difference.Before,
			After:  difference.After,
		})
	}
	return answer, nil
}

// olderSnapshot returns the older side of a diff: the exported file if there is one, else a retained revision.
func (s *Server) olderSnapshot(request *operatorpb.DiffRequest) (*configurator.Snapshot, error) {
	if len(request.GetFile()) == 0 {
		return s.retainedSnapshot(request.GetFrom())
	}
	archive, err := configurator.DecodeArchive(request.GetFile())
	if err != nil {
		return nil, err
	}
	return archive.Snapshot()
}

// snapshotOrCurrent returns the snapshot of a retained revision, or the current one if the revision is zero.
func (s *Server) snapshotOrCurrent(revision uint64) (*configurator.Snapshot, error) {
	if revision == 0 {
		return s.config.Spreader.Current(), nil
	}
	return s.retainedSnapshot(revision)
}

// retainedSnapshot returns the snapshot of a revision that this instance still retains, else *RevisionNotRetained.
func (s *Server) retainedSnapshot(revision uint64) (*configurator.Snapshot, error) {
	snapshot, ok := s.config.Spreader.Revision(revision)
	if !ok {
		return nil, &RevisionNotRetained{
			Revision: revision,
		}
	}
	return snapshot, nil
}

// export handles the Export call: it returns the current configuration as one file.
func (s *Server) export(_ context.Context, _ *operatorpb.ExportRequest) (*operatorpb.ExportAnswer, error) {
	file, err := s.config.Spreader.Current().Archive().Encode()
	return &operatorpb.ExportAnswer{
		File: file,
	}, err
}

// instances handles the Instances call.
func (s *Server) instances(
	ctx context.Context, _ *operatorpb.InstancesRequest,
) (*operatorpb.InstancesAnswer, error) {
	answer := &operatorpb.InstancesAnswer{}
	if s.config.Instances == nil {
		return answer, nil
	}
	instances, err := s.config.Instances(ctx)
	if err != nil {
		return nil, err
	}
	for _, instance := range instances {
		answer.Instances = append(answer.Instances, &operatorpb.Instance{
			Name:     instance.Name,
			Domain:   instance.Domain,
			Address:  instance.Address.String(),
			State:    instance.State,
			Revision: instance.Revision,
		})
	}
	return answer, nil
}

// dump handles the Dump call.
func (s *Server) dump(ctx context.Context, request *operatorpb.DumpRequest) (*operatorpb.DumpAnswer, error) {
	if s.config.Dump == nil {
		return &operatorpb.DumpAnswer{}, nil
	}
	state, err := s.config.Dump(ctx, request.GetName())
	return &operatorpb.DumpAnswer{
		State: state,
	}, err
}
