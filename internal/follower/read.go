package follower

import (
	"context"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// read is one call to the store: for the complete state, or for the changes after a revision.
type read struct {
	store  *storer.Store
	prefix string
	// after is the revision after which changes are requested.
	after storer.Revision
	// complete is set if the complete state is requested.
	complete bool
	// requested is when the call was made.
	requested time.Time
	// done is closed once changes or err is set.
	done    chan struct{}
	changes storer.Changes
	err     error
}

func (r *read) run(ctx context.Context) {
	defer close(r.done)
	if r.complete {
		r.changes, r.err = r.store.Scan(ctx, r.prefix)
		return
	}
	r.changes, r.err = r.store.Watch(ctx, r.prefix, r.after)
}
