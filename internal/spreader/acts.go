package spreader

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Act commits a change: it applies the change to the store's head, swaps the head, which
// accepts the change, and pushes it to all instances. A change that was already carried out is
// not repeated. The error is one of configurator's, *NotReady, *NotAccepted, *Reused (no
// effect) or *UnknownOutcome.
func (s *Spreader) Act(ctx context.Context, change configurator.Change) (Receipt, error) {
	receipt, err := s.commitAct(ctx, change)
	outcome := "accepted"
	if err != nil {
		outcome = "refused"
	}
	var unknown *UnknownOutcome
	if errors.As(err, &unknown) {
		outcome = "unknown"
	}
	metrics.GetOrCreateCounter(`buckthorngap_config_acts_total{outcome="` + outcome + `"}`).Inc()
	s.config.Log.WithFields(logrus.Fields{
		"id":         change.ID,
		"operator":   change.Operator,
		"operations": len(change.Operations),
		"outcome":    outcome,
		"revision":   receipt.Revision,
	}).Info("act")
	if err != nil {
		return Receipt{}, err
	}
	s.pushAct(ctx, change, &receipt)
	return receipt, nil
}

// commitAct commits the change to the store's head, and tries again if other acts are committed
// first.
func (s *Spreader) commitAct(ctx context.Context, change configurator.Change) (Receipt, error) {
	if !s.Ready() {
		return Receipt{}, &NotReady{}
	}
	ctx, cancel := context.WithTimeout(ctx, actTimeout)
	defer cancel()
	if err := s.lockActs(ctx); err != nil {
		return Receipt{}, notAccepted(change.ID, err)
	}
	defer s.unlockActs()
	inHead := false
	for attempt := range maxActAttempts {
		receipt, err := s.tryAct(ctx, change)
		if !retryable(err) {
			return receipt, outcomeError(change.ID, err, inHead)
		}
		var later *superseded
		inHead = inHead || errors.As(err, &later)
		if !waiter.Pause(ctx, rand.N(time.Duration(attempt+1)*5*time.Millisecond)) {
			break
		}
	}
	return Receipt{}, outcomeError(change.ID, notAccepted(change.ID, &Contended{}), inHead)
}

// outcomeError returns the error of an act. An act that is in the head has had an effect even if
// its result could not be read, so that its error must not be *NotAccepted.
func outcomeError(id string, err error, inHead bool) error {
	var refused *NotAccepted
	if !inHead || !errors.As(err, &refused) {
		return err
	}
	return &UnknownOutcome{
		ID:    id,
		Cause: refused.Cause,
	}
}

// lockActs waits for the lock under which acts and repairs are committed.
func (s *Spreader) lockActs(ctx context.Context) error {
	select {
	case s.actLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Spreader) unlockActs() { <-s.actLock }

// retryable reports whether an attempt failed only because of another act.
func retryable(err error) bool {
	var conflict *storer.Conflict
	var replaced *documentReplaced
	var later *superseded
	return errors.As(err, &conflict) || errors.As(err, &replaced) || errors.As(err, &later)
}

func notAccepted(id string, cause error) error {
	return &NotAccepted{
		ID:    id,
		Cause: cause,
	}
}

// tryAct tries to commit the change once, on the store's current head.
func (s *Spreader) tryAct(ctx context.Context, change configurator.Change) (Receipt, error) {
	stored, err := s.readHead(ctx)
	if err != nil {
		return Receipt{}, notAccepted(change.ID, err)
	}
	base, err := s.baseSnapshot(ctx, stored)
	if err != nil {
		return Receipt{}, wrapUnlessRetryable(change.ID, err)
	}
	if act, ok := stored.head.Act(change.ID); ok {
		return repeatedReceipt(change, act)
	}
	next, known, err := applyOnce(base, change)
	if err != nil {
		return Receipt{}, err
	}
	next = next.RaiseRevision(stored.head.Revision + 1)
	if err := s.publish(ctx, stored, next, change.ID); err != nil {
		return Receipt{}, err
	}
	s.install(next, "act")
	return Receipt{
		ID:       change.ID,
		Revision: next.Revision(),
		Durable:  true,
		Repeated: known,
	}, nil
}

// applyOnce applies a change, and reports whether it was already in force on this instance. Such a
// change, which the store has lost, is not applied twice.
func applyOnce(base *configurator.Snapshot, change configurator.Change) (*configurator.Snapshot, bool, error) {
	next, err := base.Apply(change)
	var repeated *configurator.Repeated
	if !errors.As(err, &repeated) {
		return next, false, err
	}
	act, _ := base.Act(change.ID)
	_, err = repeatedReceipt(change, act)
	return base, true, err
}

// wrapUnlessRetryable returns a retryable error as it is, and any other as *NotAccepted.
func wrapUnlessRetryable(id string, err error) error {
	if retryable(err) {
		return err
	}
	return notAccepted(id, err)
}

// repeatedReceipt returns the receipt of a change that is already in the head, or *Reused if
// the head has another change under its identity.
func repeatedReceipt(change configurator.Change, act configurator.Act) (Receipt, error) {
	if act.Complete() && !sameOperations(change, act.Change) {
		return Receipt{}, &Reused{
			ID: change.ID,
		}
	}
	return Receipt{
		ID:       change.ID,
		Revision: act.Revision,
		Durable:  true,
		Repeated: true,
	}, nil
}

// sameOperations reports whether two changes have the same operations.
func sameOperations(a, b configurator.Change) bool {
	first, errFirst := json.Marshal(a.Operations)
	second, errSecond := json.Marshal(b.Operations)
	return errFirst == nil && errSecond == nil && string(first) == string(second)
}

// baseSnapshot returns the snapshot that the next head builds on: the one in the store, or the
// one in force if the store was rolled back. Acts that only the other of the two contains are
// applied on top.
func (s *Spreader) baseSnapshot(ctx context.Context, stored storedHead) (*configurator.Snapshot, error) {
	current := s.Current()
	storedRevision := stored.head.Revision
	if storedRevision == current.Revision() && len(current.Differing(stored.head)) == 0 {
		return current, nil
	}
	if storedRevision <= current.Revision() && s.guards.repair {
		s.config.Log.WithFields(logrus.Fields{
			"stored":  storedRevision,
			"current": current.Revision(),
		}).Warn("store.behind")
		return s.applyMissingActs(current, stored.head.Acts), nil
	}
	next, err := s.fetchSnapshot(ctx, stored.head)
	if err != nil {
		return nil, err
	}
	if s.guards.mergeActs && len(missingActs(current.Acts(), next)) > 0 {
		return s.applyMissingActs(next, current.Acts()), nil
	}
	s.install(next, "store")
	return next, nil
}

// applyMissingActs applies those of the acts that the snapshot lacks. Acts that no longer apply
// are logged and dropped.
func (s *Spreader) applyMissingActs(snapshot *configurator.Snapshot, acts []configurator.Act) *configurator.Snapshot {
	for _, act := range missingActs(acts, snapshot) {
		next, err := snapshot.Apply(act.Change)
		if err != nil {
			s.config.Log.WithFields(logrus.Fields{
				"id":    act.ID,
				"error": err,
			}).Error("act.lost")
			continue
		}
		snapshot = next
	}
	return snapshot
}

// missingActs returns the acts that the snapshot lacks although their revision is within its
// recent acts, and that still have their operations.
func missingActs(acts []configurator.Act, snapshot *configurator.Snapshot) []configurator.Act {
	known := snapshot.Acts()
	oldest := uint64(0)
	if len(known) >= configurator.RecentActs {
		oldest = known[0].Revision
	}
	var missing []configurator.Act
	for _, act := range acts {
		if _, ok := snapshot.Act(act.ID); !ok && act.Revision >= oldest && act.Complete() {
			missing = append(missing, act)
		}
	}
	return missing
}
