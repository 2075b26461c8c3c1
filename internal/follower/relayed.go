package follower

import "time"

// Relayed is an update of the store that another instance passed on.
type Relayed struct {
	// Update is the update.
	Update Update
	// AsOf is the time at which the store returned the update to that instance, or earlier.
	AsOf time.Time
}
