package relayer

import (
	"fmt"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Late reports a reader that knows nothing recent enough of the store.
type Late struct {
	// Age is how long ago the store told it.
	Age time.Duration
	// Revision is what it knows; zero if nothing.
	Revision storer.Revision
}

// Error implements error.
func (e *Late) Error() string {
	return fmt.Sprintf("the reader heard revision %d from the store %s ago", e.Revision, e.Age)
}
