package stager

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/lister"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	// swapTimeout ends a swap whose unloads do not finish. It is longer than most requests
	// run.
	swapTimeout = 30 * time.Second
	// swapRetryInterval is the time between attempts while the engine is still unloading.
	swapRetryInterval = 100 * time.Millisecond
)

// loadModel has one engine of a duty's group load a model. It returns the engine and when it
// will be ready.
func (s *Stager) loadModel(ctx context.Context, name string, term Term, service, checkpoint string) (string, time.Time, error) {
	now := s.config.Now()
	snapshot := s.config.Snapshot()
	version, ok := snapshot.VersionByCheckpoint(checkpoint)
	if !ok {
		return "", now, unavailable("the model is not known")
	}
	if engine, until, ok := s.findLoading(checkpoint); ok {
		return engine, until, nil
	}
	if engine, ok := s.findLoaded(name, service, checkpoint); ok {
		return engine, now, nil
	}
	return s.startLoad(ctx, name, term, service, version, s.demand.rates()[checkpoint], 0)
}

// startLoad starts the load of a model on the cheapest engine of the duty's group. Worth is
// the demand that the new copy serves, in tokens a second. Models that have no more than
// keepCopies copies are not evicted for it.
func (s *Stager) startLoad(ctx context.Context, name string, term Term, service string, version configurator.Version, worth float64, keepCopies int) (string, time.Time, error) {
	now := s.config.Now()
	snapshot := s.config.Snapshot()
	model, _ := snapshot.Model(version.Model)
	checkpoint := version.Checkpoint
	engines := s.engines(name, service)
	candidates := s.candidates(engines, snapshot, model, checkpoint)
	pinScarce(candidates, keepCopies)
	chosen, ok := choose(candidates, version.Bytes, worth)
	if !ok {
		return "", now, unavailable("nothing that is asked for less can make way")
	}
	until := now.Add(chosen.candidate.load + swapRetryInterval)
	var limiter *loadLimiter
	if chosen.candidate.remote {
		limiter = s.limiterFor(name, snapshot, service)
	}
	if limiter != nil && !limiter.tryStart(now, until) {
		return "", now, unavailableUntil("the weight store is busy", limiter.nextStart(now))
	}
	v := s.view(chosen.candidate.engine)
	if !v.reserve(now, until, checkpoint) {
		if limiter != nil {
			limiter.finish()
		}
		return "", now, occupied(now.Add(swapRetryInterval))
	}
	w := &swap{
		stager:     s,
		term:       term,
		view:       v,
		instance:   engines[chosen.candidate.engine].Instance,
		checkpoint: checkpoint,
		placement:  chosen,
		limiter:    limiter,
	}
	go w.run(context.WithoutCancel(ctx))
	return chosen.candidate.engine, until, nil
}

// findLoaded returns an engine of the duty's group that holds a model.
func (s *Stager) findLoaded(name, service, checkpoint string) (string, bool) {
	for engine, row := range s.engines(name, service) {
		v := s.view(engine)
		v.mu.Lock()
		v.applyEntry(row)
		loaded := v.contents()[checkpoint] != nil
		v.mu.Unlock()
		if loaded {
			return engine, true
		}
	}
	return "", false
}

// findLoading returns an engine that is already loading a model, and the earliest time at
// which it may be done.
func (s *Stager) findLoading(checkpoint string) (string, time.Time, bool) {
	now := s.config.Now()
	s.mu.Lock()
	views := maps.Clone(s.views)
	s.mu.Unlock()
	for engine, v := range views {
		v.mu.Lock()
		until, target := v.busyUntil, v.target
		v.mu.Unlock()
		if target != checkpoint {
			continue
		}
		if earliest := now.Add(swapRetryInterval); until.Before(earliest) {
			until = earliest // the load is overdue
		}
		return engine, until, true
	}
	return "", now, false
}

// engines returns the listed engines of a service that belong to a duty of this domain.
func (s *Stager) engines(name, service string) map[string]lister.Row {
	engines := map[string]lister.Row{}
	for _, upstream := range s.config.Upstreams() {
		if upstream.Role != storer.RoleEngine || upstream.Domain != s.config.Self.Domain || upstream.Leaving {
			continue
		}
		if upstream.Service != service || duty(s.group(upstream.Name)) != name {
			continue
		}
		if row, ok := s.config.Row(upstream.Name); ok {
			engines[upstream.Name] = row
		}
	}
	return engines
}

// candidates returns the engines on which a model could be loaded now, without those that hold
// it already, carry out another swap, or whose state is not known.
func (s *Stager) candidates(engines map[string]lister.Row, snapshot *configurator.Snapshot, model configurator.Model, checkpoint string) []candidate {
	now := s.config.Now()
	rates := s.demand.rates()
	copies := s.countCopies()
	var usable []candidate
	for engine, row := range engines {
		service, _ := snapshot.Service(row.Instance.Service)
		v := s.view(engine)
		v.mu.Lock()
		v.applyEntry(row)
		current, idle, loadedAt := v.contents(), v.idle(now), maps.Clone(v.loaded)
		v.mu.Unlock()
		if !idle || current[checkpoint] != nil || service.Engine == nil {
			continue
		}
		c := candidate{
			engine: engine,
			free:   s.free(current, row.Instance.Service),
		}
		c.load, c.remote = loadTime(model, row.Report.Cached[checkpoint])
		for loaded, adapters := range current {
			c.loaded = append(c.loaded, resident{
				checkpoint: loaded,
				bytes:      size(snapshot, loaded, adapters),
				rate:       rates[loaded],
				copies:     copies[loaded],
				pinned:     now.Sub(loadedAt[loaded]) < minResidence,
			})
		}
		usable = append(usable, c)
	}
	return usable
}

// countCopies counts the engines that hold each model, in all failure domains.
func (s *Stager) countCopies() map[string]int {
	counts := map[string]int{}
	for _, upstream := range s.config.Upstreams() {
		if upstream.Leaving {
			continue
		}
		if row, ok := s.config.Row(upstream.Name); ok {
			for _, loaded := range row.Report.Copies {
				counts[loaded.Checkpoint]++
			}
		}
	}
	return counts
}

// loadTime returns how long a load takes from where the weights are, and whether they come
// from the weight store.
func loadTime(model configurator.Model, place reporter.Place) (load time.Duration, remote bool) {
	switch place {
	case reporter.PlaceMemory:
		return model.MemoryLoad, false
	case reporter.PlaceDisk:
		return model.DiskLoad, false
	default:
		return model.Load, true
	}
}

// limiterFor returns the limiter of a duty's loads from the weight store, or nil if the
// configuration sets no rate for the service.
func (s *Stager) limiterFor(name string, snapshot *configurator.Snapshot, service string) *loadLimiter {
	record, ok := snapshot.Service(service)
	if !ok || record.Engine == nil || record.Engine.Loads <= 0 {
		return nil
	}
	duties := max(1, len(s.config.Domains())) * s.config.Groups
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter := s.limiters[name]
	if limiter == nil || limiter.perSecond != record.Engine.Loads {
		limiter = newLoadLimiter(s.config.Now(), record.Engine.Loads, duties)
		s.limiters[name] = limiter
	}
	return limiter
}

// swap evicts models from an engine and loads another one in their place.
type swap struct {
	stager     *Stager
	term       Term
	view       *view
	instance   storer.Instance
	checkpoint string
	placement  placement
	// limiter is notified when a load from the weight store ends; nil if the load does not
	// come from there.
	limiter *loadLimiter
}

// run carries out the swap, and then ends the reservation of the engine and of the weight
// store.
func (w *swap) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	err := w.unload(ctx)
	if err == nil {
		err = w.orderWithRetry(ctx, Order{
			Checkpoint: w.checkpoint,
		})
	}
	s := w.stager
	if err == nil {
		w.view.mu.Lock()
		w.view.busyUntil = s.config.Now().Add(w.placement.candidate.load)
		w.view.mu.Unlock()
		err = w.confirm(ctx)
	}
	now := s.config.Now()
	if w.limiter != nil {
		w.limiter.finish()
	}
	w.view.mu.Lock()
	w.view.busyUntil, w.view.target = now, ""
	if err == nil {
		w.view.loaded[w.checkpoint] = now
	}
	w.view.mu.Unlock()
	log := s.config.Log.WithFields(logrus.Fields{
		"engine":     w.instance.Name,
		"checkpoint": w.checkpoint,
		"victims":    len(w.placement.victims),
		"remote":     w.placement.candidate.remote,
		"loss":       w.placement.cost,
	})
	if err != nil {
		log.WithError(err).Warn("stage.failed")
		return
	}
	log.Info("stage.loaded")
	s.changed(w.instance.Name, w.checkpoint, true)
}

// confirm waits until the engine's own report shows the model. A load takes longer while
// others run, and the engine refuses requests that come before it is done.
func (w *swap) confirm(ctx context.Context) error {
	s := w.stager
	wait := w.placement.candidate.load
	for waiter.Pause(ctx, wait) {
		report, err := s.config.Read(ctx, w.instance)
		if err == nil && contentsOf(report)[w.checkpoint] != nil {
			return nil
		}
		wait = swapRetryInterval
	}
	return ctx.Err()
}

// unload evicts the models that make room for the new one.
func (w *swap) unload(ctx context.Context) error {
	for _, victim := range w.placement.victims {
		w.stager.changed(w.instance.Name, victim.checkpoint, false)
		err := w.orderWithRetry(ctx, Order{
			Unload:     true,
			Checkpoint: victim.checkpoint,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// orderWithRetry sends an order, and repeats it while the engine still carries out the
// previous one.
func (w *swap) orderWithRetry(ctx context.Context, order Order) error {
	for {
		err := w.sendOrder(ctx, order)
		var conflict *Conflict
		if !errors.As(err, &conflict) || !waiter.Pause(ctx, swapRetryInterval) {
			return err
		}
	}
}

// sendOrder sends one order for a model. It reads the engine's own report first, so that a
// load is never ordered without room for it.
func (w *swap) sendOrder(ctx context.Context, order Order) error {
	s := w.stager
	w.view.mu.Lock()
	defer w.view.mu.Unlock()
	w.view.doubt = true
	if err := s.refresh(ctx, w.view, w.instance); err != nil {
		return err
	}
	if w.view.busy {
		return &Conflict{}
	}
	done := s.config.Now()
	if !order.Unload {
		if free := s.free(w.view.contents(), w.instance.Service); free < w.placement.bytes {
			return unavailable("the engine has no room for the model")
		}
		done = done.Add(w.placement.candidate.load)
	}
	_, err := s.order(ctx, w.term, w.view, w.instance, order)
	if err == nil {
		w.view.addChange(done, order.Checkpoint, "", !order.Unload)
	}
	return err
}

// free returns the accelerator memory of an engine of a service that its contents leave
// unused, in bytes.
func (s *Stager) free(contents map[string]map[string]bool, service string) int64 {
	snapshot := s.config.Snapshot()
	record, ok := snapshot.Service(service)
	if !ok || record.Engine == nil {
		return 0
	}
	free := record.Engine.Bytes
	for checkpoint, adapters := range contents {
		free -= size(snapshot, checkpoint, adapters)
	}
	return free
}

// size returns the accelerator memory of a model with its adapters, in bytes.
func size(snapshot *configurator.Snapshot, checkpoint string, adapters map[string]bool) int64 {
	version, _ := snapshot.VersionByCheckpoint(checkpoint)
	bytes := version.Bytes
	for adapter := range adapters {
		record, _ := snapshot.Adapter(adapter)
		bytes += record.Bytes
	}
	return bytes
}
