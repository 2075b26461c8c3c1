package relayer

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/internal/relayer/relayerpb"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

func encode(update follower.Update, age time.Duration) *relayerpb.Told {
	told := &relayerpb.Told{
		Revision: uint64(update.Revision),
		Age:      int64(age),
		Whole:    update.Whole,
		Regained: update.Regained,
		Deleted:  update.Deleted,
	}
	for _, entry := range update.Entries {
		told.Entries = append(told.Entries, &relayerpb.Entry{
			Key:      entry.Key,
			Value:    entry.Value,
			Revision: uint64(entry.Revision),
		})
	}
	for _, renewal := range update.Renewed {
		told.Renewed = append(told.Renewed, &relayerpb.Renewal{
			Key:      renewal.Key,
			Revision: uint64(renewal.Revision),
		})
	}
	return told
}

func decode(told *relayerpb.Told) follower.Update {
	update := follower.Update{
		Whole:    told.GetWhole(),
		Regained: told.GetRegained(),
		Deleted:  told.GetDeleted(),
		Revision: storer.Revision(told.GetRevision()),
	}
	for _, entry := range told.GetEntries() {
		update.Entries = append(update.Entries, storer.Entry{
			Key:      entry.GetKey(),
			Value:    entry.GetValue(),
			Revision: storer.Revision(entry.GetRevision()),
		})
	}
	for _, renewal := range told.GetRenewed() {
		update.Renewed = append(update.Renewed, follower.Renewal{
			Key:      renewal.GetKey(),
			Revision: storer.Revision(renewal.GetRevision()),
		})
	}
	return update
}
