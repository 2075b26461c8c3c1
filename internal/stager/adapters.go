package stager

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// warm is for how long an adapter that was asked for is not dropped for
// another: requests for it may be on their way or run.
const warm = 500 * time.Millisecond

// unloading is how long an engine is left alone that waits for requests to end,
// or carries out an order that this holder did not give.
const unloading = 500 * time.Millisecond

// conflictTries is how often an order for an adapter is tried: the second time
// with the sequence that the engine itself tells.
const conflictTries = 2

// loadAdapter has an engine load an adapter, and returns when it is ready.
func (s *Stager) loadAdapter(ctx context.Context, term Term, engine, checkpoint, adapter string) (time.Time, error) {
	instance, err := s.instance(engine)
	if err != nil {
		return time.Time{}, err
	}
	b := s.book(engine)
	b.mu.Lock()
	defer b.mu.Unlock()
	for range conflictTries {
		ready, err := s.tryAdapter(ctx, term, b, instance, checkpoint, adapter)
		var conflict *Conflict
		if !errors.As(err, &conflict) {
			return ready, err
		}
	}
	return time.Time{}, occupied(s.config.Now().Add(unloading))
}

// tryAdapter orders the load once. Its caller holds the book's lock.
func (s *Stager) tryAdapter(ctx context.Context, term Term, b *book, instance storer.Instance, checkpoint, adapter string) (time.Time, error) {
	if err := s.refresh(ctx, b, instance); err != nil {
		return time.Time{}, err
	}
	now := s.config.Now()
	current := b.contents()
	if current[checkpoint] == nil {
		return time.Time{}, unavailable("the engine does not hold the model")
	}
	b.used[adapter] = now
	if current[checkpoint][adapter] {
		return now, nil
	}
	if now.Before(b.until) {
		return time.Time{}, occupied(b.until)
	}
	if b.busy {
		return time.Time{}, occupied(now.Add(unloading))
	}
	if err := s.makeRoom(ctx, term, b, instance, adapter, current); err != nil {
		return time.Time{}, err
	}
	answer, err := s.order(ctx, term, b, instance, Order{
		Checkpoint: checkpoint,
		Adapter:    adapter,
	})
	if err != nil {
		return time.Time{}, err
	}
	now = s.config.Now()
	b.note(now, checkpoint, adapter, true)
	s.config.Note(instance.Name, checkpoint, adapter, true)
	if answer == Holding {
		return now, nil
	}
	return now.Add(s.config.Adapter), nil
}

// makeRoom drops the adapter that was asked for longest ago if the engine has
// no place for the wanted one.
func (s *Stager) makeRoom(ctx context.Context, term Term, b *book, instance storer.Instance, wanted string, current map[string]map[string]bool) error {
	snapshot := s.config.Snapshot()
	service, ok := snapshot.Service(instance.Service)
	if !ok || service.Engine == nil {
		return unavailable("the service of the engine is not known")
	}
	record, _ := snapshot.Adapter(wanted)
	if count(current) < service.Engine.Adapters && s.free(current, instance.Service) >= record.Bytes {
		return nil
	}
	now := s.config.Now()
	checkpoint, adapter, ok := b.idlest(now, s.demand.rates(), current, warm)
	if !ok {
		return unavailable("all adapters of the engine are in use")
	}
	answer, err := s.order(ctx, term, b, instance, Order{
		Unload:     true,
		Checkpoint: checkpoint,
		Adapter:    adapter,
	})
	if err != nil {
		return err
	}
	s.config.Note(instance.Name, checkpoint, adapter, false)
	if answer == Begun {
		// The engine takes no other order until the adapter's requests have ended.
		// An order that repeats one which waits is accepted and not counted.
		b.used[adapter] = now
		b.doubt = true
		b.until = now.Add(unloading)
		return unavailableUntil("the adapter to drop is still in use", b.until)
	}
	b.note(now, checkpoint, adapter, false)
	return nil
}

// refresh brings a book up to date. While the engine is busy or in doubt, as
// after an order without an answer, it is asked itself.
func (s *Stager) refresh(ctx context.Context, b *book, instance storer.Instance) error {
	row, ok := s.config.Row(instance.Name)
	if !ok {
		return unavailable("the engine is not listed")
	}
	b.learn(row)
	if !b.doubt && !b.busy {
		return nil
	}
	report, err := s.config.Read(ctx, instance)
	if err != nil {
		return err
	}
	b.read(s.config.Now(), report)
	return nil
}

// order sends one order. The engine is asked for its state first next time if
// the order conflicts or is lost.
func (s *Stager) order(ctx context.Context, term Term, b *book, instance storer.Instance, order Order) (Answer, error) {
	order.Sequence = b.sequence
	order.Epoch = term.Epoch
	order.Holder = s.config.Self.Name
	if err := term.Check(); err != nil {
		return Begun, err
	}
	answer, err := s.config.Order(ctx, instance, order)
	s.explain(instance, order, answer, err)
	var conflict *Conflict
	var lost *Lost
	switch {
	case errors.As(err, &conflict), errors.As(err, &lost):
		b.doubt = true
	case err == nil && (answer == Begun || order.Unload):
		b.sequence++
	}
	return answer, err
}

func (s *Stager) explain(instance storer.Instance, order Order, answer Answer, err error) {
	fields := logrus.Fields{
		"engine":     instance.Name,
		"order":      order.kind(),
		"checkpoint": order.Checkpoint,
		"adapter":    order.Adapter,
		"sequence":   order.Sequence,
		"epoch":      order.Epoch,
		"done":       answer == Holding,
	}
	if err != nil {
		fields["error"] = err
	}
	s.config.Log.WithFields(fields).Info("stage.order")
}
