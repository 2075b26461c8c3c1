package relayer

import (
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// State is what a dump tells of the store as this instance knows it.
type State struct {
	// Reads is set while the instance reads for others.
	Reads bool `json:"reads"`
	// Source is the instance that told something last; empty if the store did.
	Source string `json:"source,omitempty"`
	// Revision is the store's revision up to which everything is known.
	Revision storer.Revision `json:"revision"`
	// Heard is when the store said so.
	Heard time.Time `json:"heard"`
	// Entries is the number of entries that are known.
	Entries int `json:"entries"`
}
