package spreader

import (
	"context"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/spreader/spreaderpb"
)

// branch is one branch of the tree. It sends to its first target, which relays to the others. If
// that target fails or is slow, the next one takes its place.
type branch struct {
	multicast *multicast
	targets   []*spreaderpb.Target
}

// run sends to the targets one after another until one has answered for itself and those after
// it. An attempt at a slow target continues meanwhile.
func (b *branch) run(ctx context.Context) {
	defer b.multicast.group.Done()
	results := make(chan bool, len(b.targets))
	pending := 0
	for i, target := range b.targets {
		a := &pushAttempt{
			multicast: b.multicast,
			target:    target,
			rest:      b.targets[i+1:],
			results:   results,
		}
		go a.run(ctx)
		pending++
		finished, succeeded := b.await(ctx, results)
		if succeeded || ctx.Err() != nil {
			return
		}
		if finished {
			pending--
		}
	}
	for ; pending > 0; pending-- {
		select {
		case <-ctx.Done():
			return
		case succeeded := <-results:
			if succeeded {
				return
			}
		}
	}
}

// await waits for the result of an attempt, at most for Config.LeafTimeout. It reports whether an
// attempt has finished and whether it succeeded, that is, whether its target has answered for
// itself and those that it relays to.
func (b *branch) await(ctx context.Context, results chan bool) (finished, succeeded bool) {
	timer := time.NewTimer(b.multicast.spreader.config.LeafTimeout)
	defer timer.Stop()
	select {
	case succeeded = <-results:
		return true, succeeded
	case <-timer.C:
	case <-ctx.Done():
	}
	return false, false
}
