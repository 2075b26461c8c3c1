package follower

import (
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Update is one update of the followed entries.
type Update struct {
	// Complete is set if Entries is the complete state, and not only what changed.
	Complete bool
	// Entries are the entries that were written.
	Entries []storer.Entry
	// Renewed are the rewritten entries whose compared part is the same as before.
	Renewed []Renewal
	// Deleted are the keys of deleted entries.
	Deleted []string
	// Revision is the store's revision up to which the update is complete.
	Revision storer.Revision
	// Recovered is set if the store answered again after failures, unless it has served other instances all the while.
	Recovered bool
	// UnreachableAt is a time at which the store was still unreachable before it recovered; zero if that is not known.
	UnreachableAt time.Time
	// Restored is set if the store was restored from a copy since the last update. Entries, which are complete then, may be
	// older than those of earlier updates.
	Restored bool
}
