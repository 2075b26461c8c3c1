package relayer

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/internal/relayer/relayerpb"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// encode converts an update of the given age to its wire format.
func encode(update follower.Update, age time.Duration) *relayerpb.Told {
	message := &relayerpb.Told{
		Revision: uint64(update.Revision),
		Age:      int64(age),
		Whole:    update.Complete,
		Regained: update.Recovered,
		Deleted:  update.Deleted,
	}
	for _, entry := range update.Entries {
		message.Entries = append(message.Entries, &relayerpb.Entry{
			Key:      entry.Key,
			Value:    entry.Value,
			Revision: uint64(entry.Revision),
		})
	}
	for _, renewal := range update.Renewed {
		message.Renewed = append(message.Renewed, &relayerpb.Renewal{
			Key:      renewal.Key,
			Revision: uint64(renewal.Revision),
		})
	}
	return message
}

// decode converts an update from its wire format.
func decode(message *relayerpb.Told) follower.Update {
	update := follower.Update{
		Complete:  message.GetWhole(),
		Recovered: message.GetRegained(),
		Deleted:   message.GetDeleted(),
		Revision:  storer.Revision(message.GetRevision()),
	}
	for _, entry := range message.GetEntries() {
		update.Entries = append(update.Entries, storer.Entry{
			Key:      entry.GetKey(),
			Value:    entry.GetValue(),
			Revision: storer.Revision(entry.GetRevision()),
		})
	}
	for _, renewal := range message.GetRenewed() {
		update.Renewed = append(update.Renewed, follower.Renewal{
			Key:      renewal.GetKey(),
			Revision: storer.Revision(renewal.GetRevision()),
		})
	}
	return update
}
