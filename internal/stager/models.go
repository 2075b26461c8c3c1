package stager

import (
	"context"
	"maps"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/lister"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// loadModel has one engine of a duty load a model. It returns the engine and when the model will
// be ready.
func (s *Stager) loadModel(ctx context.Context, duty string, term Term, service, checkpoint string) (string, time.Time, error) {
	now := s.config.Now()
	snapshot := s.config.Snapshot()
	version, ok := snapshot.VersionByCheckpoint(checkpoint)
	if !ok {
		return "", now, unavailable("the model is not known")
	}
	if engine, until, ok := s.findLoading(checkpoint); ok {
		return engine, until, nil
	}
	if engine, ok := s.findLoaded(duty, service, checkpoint); ok {
		return engine, now, nil
	}
	return s.startLoad(ctx, duty, term, service, version, s.demand.rates()[checkpoint], 0)
}

// startLoad starts the load of a model on the cheapest engine of a duty. Benefit is the demand
// that the new copy serves, in tokens a second. Models that have no more than keepCopies copies
// are not evicted for it.
func (s *Stager) startLoad(ctx context.Context, duty string, term Term, service string, version configurator.Version, benefit float64, keepCopies int) (string, time.Time, error) {
	now := s.config.Now()
	snapshot := s.config.Snapshot()
	model, _ := snapshot.Model(version.Model)
	checkpoint := version.Checkpoint
	engines := s.enginesOfDuty(duty, service)
	candidates := s.candidates(engines, snapshot, model, checkpoint)
	pinModelsWithFewCopies(candidates, keepCopies)
	chosen, ok := choosePlacement(candidates, version.Bytes, benefit)
	if !ok {
		return "", now, unavailable("nothing that is asked for less can make way")
	}
	until := now.Add(chosen.candidate.load + swapRetryInterval)
	var limiter *loadLimiter
	if chosen.candidate.remote {
		limiter = s.limiterFor(duty, snapshot, service)
	}
	if limiter != nil && !limiter.tryStart(now, until) {
		return "", now, unavailableUntil("the weight store is busy", limiter.nextStart(now))
	}
	v := s.view(chosen.candidate.engine)
	if !v.reserve(now, until, checkpoint) {
		if limiter != nil {
			limiter.finish()
		}
		return "", now, engineBusy(now.Add(swapRetryInterval))
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
	for _, victim := range chosen.victims {
		s.recordChange(chosen.candidate.engine, victim.checkpoint, false)
	}
	go w.run(context.WithoutCancel(ctx))
	return chosen.candidate.engine, until, nil
}

// findLoaded returns an engine of a duty that holds a model.
func (s *Stager) findLoaded(duty, service, checkpoint string) (string, bool) {
	for engine, row := range s.enginesOfDuty(duty, service) {
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
		until, target := v.busyUntil, v.loadingModel
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

// enginesOfDuty returns the listed engines of a service that belong to a duty of this domain, by
// name.
func (s *Stager) enginesOfDuty(duty, service string) map[string]lister.Row {
	engines := map[string]lister.Row{}
	for _, upstream := range s.config.Upstreams() {
		if upstream.Role != storer.RoleEngine || upstream.Domain != s.config.Self.Domain || upstream.Leaving {
			continue
		}
		if upstream.Service != service || dutyName(s.dutyNumber(upstream.Name)) != duty {
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
		current, idle, loadedAt := v.contents(), v.idle(now), maps.Clone(v.loadedAt)
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
func (s *Stager) limiterFor(duty string, snapshot *configurator.Snapshot, service string) *loadLimiter {
	record, ok := snapshot.Service(service)
	if !ok || record.Engine == nil || record.Engine.Loads <= 0 {
		return nil
	}
	duties := max(1, len(s.config.Domains())) * s.config.DutyCount
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter := s.limiters[duty]
	if limiter == nil || limiter.perSecond != record.Engine.Loads {
		limiter = newLoadLimiter(s.config.Now(), record.Engine.Loads, duties)
		s.limiters[duty] = limiter
	}
	return limiter
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
