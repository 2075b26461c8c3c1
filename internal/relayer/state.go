package relayer

import (
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// State is the state of a Relayer in a dump.
type State struct {
	// Reads is set while the instance reads for others.
	Reads bool `json:"reads"`
	// Source is the instance that the last update came from; empty if it was the store.
	Source string `json:"source,omitempty"`
	// Revision is the store's revision up to which the state is complete.
	Revision storer.Revision `json:"revision"`
	// AsOf is the time at which the store confirmed that the state was current.
	AsOf time.Time `json:"heard"`
	// Entries is the number of known entries.
	Entries int `json:"entries"`
}
