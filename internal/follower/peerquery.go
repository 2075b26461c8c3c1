package follower

import (
	"context"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// peerQuery is one query of other instances.
type peerQuery struct {
	fetch func(ctx context.Context, after storer.Revision, complete bool) (Relayed, bool)
	// after is the revision after which changes are requested.
	after storer.Revision
	// complete is set if the complete state is requested.
	complete bool
	// done is closed once the fields below are set.
	done    chan struct{}
	relayed Relayed
	ok      bool
}

func (q *peerQuery) run(ctx context.Context) {
	defer close(q.done)
	q.relayed, q.ok = q.fetch(ctx, q.after, q.complete)
}
