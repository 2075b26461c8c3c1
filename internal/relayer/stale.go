package relayer

import (
	"fmt"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Stale reports a reader whose copy of the store's entries is too old or does not satisfy the
// request.
type Stale struct {
	// Age is how long ago the store confirmed the reader's state.
	Age time.Duration
	// Revision is the revision of the reader's state; zero if it has none.
	Revision storer.Revision
}

// Error implements error.
func (e *Stale) Error() string {
	return fmt.Sprintf("the reader's state is outdated or incomplete: revision %s, read from the store %s ago", e.Revision, e.Age)
}
