package follower

import (
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Relayed is what another instance told of the store.
type Relayed struct {
	// Update is what changed.
	Update Update
	// Heard is when the store told that instance, or earlier.
	Heard time.Time
}

// Renewal is an entry that was written again and says the same as before.
type Renewal struct {
	// Key is the entry's key.
	Key string
	// Revision is that of the last write.
	Revision storer.Revision
}
