package stager

import (
	"context"
	"errors"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// minAdapterIdle is how long after the last request to load it an adapter is protected from
// eviction: requests that use it may be in flight or running.
const minAdapterIdle = 500 * time.Millisecond

// busyRetryDelay is the delay before the next order to an engine that waits for requests to end,
// or that carries out an order that this holder did not send.
const busyRetryDelay = 500 * time.Millisecond

// reportRetryDelay is the delay before an engine's report is read again that is older than the last order.
const reportRetryDelay = 100 * time.Millisecond

// orderAttempts bounds the attempts to load an adapter. The second attempt uses the sequence from
// the engine's own report.
const orderAttempts = 2

// loadAdapter has an engine load an adapter, and returns when the adapter is ready.
func (s *Stager) loadAdapter(ctx context.Context, term Term, engine, checkpoint, adapter string) (time.Time, error) {
	instance, err := s.engineInstance(engine)
	if err != nil {
		return time.Time{}, err
	}
	v := s.view(engine)
	v.mu.Lock()
	defer v.mu.Unlock()
	for range orderAttempts {
		ready, err := s.tryAdapter(ctx, term, v, instance, checkpoint, adapter)
		var conflict *Conflict
		var outdated *Outdated
		switch {
		case errors.As(err, &outdated):
			return time.Time{}, engineBusy(s.config.Now().Add(reportRetryDelay))
		case !errors.As(err, &conflict):
			return ready, err
		}
	}
	return time.Time{}, engineBusy(s.config.Now().Add(busyRetryDelay))
}

// tryAdapter tries to load an adapter once, and returns when the adapter is ready. It returns
// *Conflict if the sequence was wrong. The caller holds the lock of the view.
func (s *Stager) tryAdapter(ctx context.Context, term Term, v *view, instance storer.Instance, checkpoint, adapter string) (time.Time, error) {
	if err := s.refresh(ctx, v, instance); err != nil {
		return time.Time{}, err
	}
	now := s.config.Now()
	current := v.contents()
	if current[checkpoint] == nil {
		return time.Time{}, unavailable("the engine does not hold the model")
	}
	v.requested[adapter] = now
	if current[checkpoint][adapter] {
		return now, nil
	}
	if now.Before(v.busyUntil) {
		return time.Time{}, engineBusy(v.busyUntil)
	}
	if v.busy {
		return time.Time{}, engineBusy(now.Add(busyRetryDelay))
	}
	if v.conflicts(now) {
		return time.Time{}, &Outdated{}
	}
	if err := s.makeRoom(ctx, term, v, instance, adapter); err != nil {
		return time.Time{}, err
	}
	answer, err := s.order(ctx, term, v, instance, Order{
		Checkpoint: checkpoint,
		Adapter:    adapter,
	})
	if err != nil {
		return time.Time{}, err
	}
	now = s.config.Now()
	v.addPending(now, checkpoint, adapter, true)
	s.config.SetLoaded(instance.Name, checkpoint, adapter, true)
	if answer == Completed {
		return now, nil
	}
	return now.Add(s.config.AdapterLoadTime), nil
}

// makeRoom evicts the adapters with the least demand until the engine has a slot and memory for the requested one, also if an
// open order is carried out after it. While an evicted adapter is still in use, it returns *Unavailable with the time to retry.
func (s *Stager) makeRoom(ctx context.Context, term Term, v *view, instance storer.Instance, requested string) error {
	snapshot := s.config.Snapshot()
	service, ok := snapshot.Service(instance.Service)
	if !ok || service.Engine == nil {
		return unavailable("the service of the engine is not known")
	}
	record, _ := snapshot.Adapter(requested)
	for {
		charged := v.charged(s.config.Now())
		if countAdapters(charged) < service.Engine.Adapters && s.free(charged, instance.Service) >= record.Bytes {
			return nil
		}
		if err := s.evictAdapter(ctx, term, v, instance); err != nil {
			return err
		}
	}
}

// evictAdapter evicts the adapter with the least demand.
func (s *Stager) evictAdapter(ctx context.Context, term Term, v *view, instance storer.Instance) error {
	now := s.config.Now()
	checkpoint, adapter, ok := v.leastUsed(now, s.demand.rates(), v.contents(), minAdapterIdle)
	if !ok {
		return unavailable("all adapters of the engine are in use")
	}
	answer, err := s.order(ctx, term, v, instance, Order{
		Unload:     true,
		Checkpoint: checkpoint,
		Adapter:    adapter,
	})
	if err != nil {
		return err
	}
	s.config.SetLoaded(instance.Name, checkpoint, adapter, false)
	if answer == InProgress {
		// The engine takes no other order until the adapter's requests have ended.
		v.requested[adapter] = now
		v.busyUntil = now.Add(busyRetryDelay)
		return unavailableUntil("the adapter to drop is still in use", v.busyUntil)
	}
	v.addPending(now, checkpoint, adapter, false)
	return nil
}

// refresh brings a view up to date. It applies the engine's list entry, and reads the engine's
// own report while the engine is busy or the sequence is not known, as after an order without an
// answer.
func (s *Stager) refresh(ctx context.Context, v *view, instance storer.Instance) error {
	row, ok := s.config.Row(instance.Name)
	if !ok {
		return unavailable("the engine is not listed")
	}
	v.applyEntry(row)
	if !v.sequenceUnknown && !v.busy {
		return nil
	}
	report, err := s.config.Read(ctx, instance)
	if err != nil {
		return err
	}
	now := s.config.Now()
	if v.outdated(now, report) {
		return &Outdated{}
	}
	v.applyReport(now, report)
	return nil
}
