package spreader

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	// watcherDelay is the longest pause before a watcher repairs or replays.
	watcherDelay = 200 * time.Millisecond
	// otherDelay is the longest pause before any other instance does so: by then a watcher has
	// most likely done it.
	otherDelay = 5 * time.Second
)

// repairer writes acts to the store again that it lost when it was rolled back to older state.
type repairer struct {
	spreader *Spreader
}

func (r *repairer) run(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.spreader.repairs:
			r.repair(ctx)
		case change := <-r.spreader.replays:
			r.replay(ctx, change)
		}
	}
}

// delay waits for a random time, which is shorter on watchers, so that instances do not repair
// all at once. It returns false if the context ended first.
func (r *repairer) delay(ctx context.Context) bool {
	longest := otherDelay
	if r.spreader.watching() {
		longest = watcherDelay
	}
	return waiter.Pause(ctx, rand.N(longest))
}

// repair repairs the store once, and requests another attempt after a failure.
func (r *repairer) repair(ctx context.Context) {
	if !r.delay(ctx) {
		return
	}
	err := r.spreader.repair(ctx)
	if err == nil {
		return
	}
	r.spreader.config.Log.WithError(err).Warn("repair.failed")
	waiter.Pause(ctx, longestBackoff)
	r.spreader.requestRepair()
}

// replay commits an act again that was accepted on a head from which the configuration in force
// does not descend. The act's identity prevents it from being applied twice.
func (r *repairer) replay(ctx context.Context, change configurator.Change) {
	if !r.delay(ctx) {
		return
	}
	s := r.spreader
	if _, known := s.Current().Act(change.ID); known {
		return
	}
	_, err := s.Act(ctx, change)
	var unknown *UnknownOutcome
	var refused *NotAccepted
	if errors.As(err, &unknown) || errors.As(err, &refused) {
		waiter.Pause(ctx, longestBackoff)
		s.requestReplay(change)
	} else if err != nil {
		s.config.Log.WithError(err).WithField("id", change.ID).Error("act.lost")
	}
}

// requestRepair queues a repair, unless one is queued already.
func (s *Spreader) requestRepair() {
	select {
	case s.repairs <- struct{}{}:
	default:
	}
}

// requestReplay queues the replay of a change, and drops it if the queue is full.
func (s *Spreader) requestReplay(change configurator.Change) {
	select {
	case s.replays <- change:
	default:
	}
}

// repair merges the configuration in force with the one in the store, and writes the result to
// the store unless it is equal to what is stored.
func (s *Spreader) repair(ctx context.Context) error {
	if !s.Ready() {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	if err := s.lockActs(bounded); err != nil {
		return err
	}
	defer s.unlockActs()
	stored, err := s.readHead(bounded)
	if err != nil {
		return err
	}
	next, err := s.baseSnapshot(bounded, stored)
	if err != nil {
		return err
	}
	if next.Revision() == stored.head.Revision && len(next.Differing(stored.head)) == 0 {
		s.install(next, "store")
		return nil
	}
	next = next.RaiseRevision(stored.head.Revision + 1)
	err = s.publish(bounded, stored, next, "")
	var conflict *storer.Conflict
	if errors.As(err, &conflict) {
		return nil
	}
	if err != nil {
		return err
	}
	metrics.GetOrCreateCounter(`buckthorngap_config_repairs_total`).Inc()
	s.config.Log.WithFields(logrus.Fields{
		"stored":   stored.head.Revision,
		"revision": next.Revision(),
	}).Warn("repair")
	s.install(next, "repair")
	return nil
}
