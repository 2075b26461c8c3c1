package quarantiner

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

const (
	// learnTimeout limits the time in which an instance that starts asks the others what they know.
	learnTimeout = time.Second
	// askTimeout limits the question to one instance.
	askTimeout = 150 * time.Millisecond
	// maxAsked limits the instances that are asked.
	maxAsked = 16
	// joinPoll is the time between two checks whether the others are known.
	joinPoll = 10 * time.Millisecond
)

// learner asks the other instances, as this one starts, what they know. Until then requests wait.
type learner struct {
	quarantiner *Quarantiner
}

// run asks instances until some have answered or could have.
func (l *learner) run(ctx context.Context) {
	q := l.quarantiner
	defer close(q.learned)
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	if !waiter.Poll(ctx, joinPoll, q.config.Joined) {
		return
	}
	peers := q.config.Peers()
	var group errgroup.Group
	for _, peer := range peers[:min(len(peers), maxAsked)] {
		group.Go(func() error {
			l.ask(ctx, peer)
			return nil
		})
	}
	_ = group.Wait()
	q.config.Log.WithField("suspects", q.count.Load()).Info("part.learned")
}

// ask asks one instance. One of an earlier version answers nothing.
func (l *learner) ask(ctx context.Context, peer messenger.Peer) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := l.quarantiner.config.Call(ctx, peer, Topic, nil)
	if err != nil {
		l.quarantiner.metrics.unsent.Inc()
		return
	}
	l.quarantiner.HandleAttachment(peer, answer)
}

// Await waits until this instance has asked the others what they know, or the context ends.
func (q *Quarantiner) Await(ctx context.Context) {
	select {
	case <-q.learned:
	case <-ctx.Done():
	}
}
