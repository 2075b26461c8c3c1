package follower

import (
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Relayed is an update of the store that another instance passed on.
type Relayed struct {
	// Update is the update.
	Update Update
	// AsOf is the time at which the store returned the update to that instance, or earlier.
	AsOf time.Time
}

// Renewal is a rewritten entry whose compared part is the same as before.
type Renewal struct {
	// Key is the entry's key.
	Key string
	// Revision is the revision of the last write.
	Revision storer.Revision
}
