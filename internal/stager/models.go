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
	// swapTime ends a swap whose unloads do not finish: longer than most requests run.
	swapTime = 30 * time.Second
	// swapPause is the time between tries while the engine is still unloading.
	swapPause = 100 * time.Millisecond
)

// loadModel has one engine of a duty's group load a model, and returns which
// and when it is ready.
func (s *Stager) loadModel(ctx context.Context, name string, term Term, service, checkpoint string) (string, time.Time, error) {
	now := s.config.Now()
	snapshot := s.config.Snapshot()
	version, ok := snapshot.VersionByCheckpoint(checkpoint)
	if !ok {
		return "", now, unavailable("the model is not known")
	}
	if engine, until, ok := s.loading(checkpoint); ok {
		return engine, until, nil
	}
	if engine, ok := s.holding(name, service, checkpoint); ok {
		return engine, now, nil
	}
	return s.begin(ctx, name, term, service, version, s.demand.rates()[checkpoint], 0)
}

// begin begins the load of a model for which demand is worth the given rate. It
// takes the place of no model that has only the given number of copies.
func (s *Stager) begin(ctx context.Context, name string, term Term, service string, version configurator.Version, worth float64, least int) (string, time.Time, error) {
	now := s.config.Now()
	snapshot := s.config.Snapshot()
	model, _ := snapshot.Model(version.Model)
	checkpoint := version.Checkpoint
	engines := s.engines(name, service)
	sites := s.sites(engines, snapshot, model, checkpoint)
	keepFew(sites, least)
	chosen, ok := choose(sites, version.Bytes, worth)
	if !ok {
		return "", now, unavailable("nothing that is asked for less can make way")
	}
	until := now.Add(chosen.site.load + swapPause)
	var p *pace
	if chosen.site.remote {
		p = s.pace(name, snapshot, service)
	}
	if p != nil && !p.take(now, until) {
		return "", now, unavailableUntil("the weight store is busy", p.next(now))
	}
	b := s.book(chosen.site.engine)
	if !b.reserve(now, until, checkpoint) {
		if p != nil {
			p.done()
		}
		return "", now, occupied(now.Add(swapPause))
	}
	w := &swap{
		stager:     s,
		term:       term,
		book:       b,
		instance:   engines[chosen.site.engine].Instance,
		checkpoint: checkpoint,
		choice:     chosen,
		pace:       p,
	}
	go w.run(context.WithoutCancel(ctx))
	return chosen.site.engine, until, nil
}

// holding finds an engine of a duty's group that holds a model.
func (s *Stager) holding(name, service, checkpoint string) (string, bool) {
	for engine, row := range s.engines(name, service) {
		b := s.book(engine)
		b.mu.Lock()
		b.learn(row)
		held := b.contents()[checkpoint] != nil
		b.mu.Unlock()
		if held {
			return engine, true
		}
	}
	return "", false
}

// loading finds an engine that is loading a model already, and until when at least.
func (s *Stager) loading(checkpoint string) (string, time.Time, bool) {
	now := s.config.Now()
	s.mu.Lock()
	books := maps.Clone(s.books)
	s.mu.Unlock()
	for engine, b := range books {
		b.mu.Lock()
		until, target := b.until, b.target
		b.mu.Unlock()
		if target != checkpoint {
			continue
		}
		if earliest := now.Add(swapPause); until.Before(earliest) {
			until = earliest // it takes longer than it should
		}
		return engine, until, true
	}
	return "", now, false
}

// engines are those of a service that a duty of this domain is about.
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

// sites describes the engines on which a model could be loaded now.
func (s *Stager) sites(engines map[string]lister.Row, snapshot *configurator.Snapshot, model configurator.Model, checkpoint string) []site {
	now := s.config.Now()
	rates := s.demand.rates()
	copies := s.copies()
	var sites []site
	for engine, row := range engines {
		service, _ := snapshot.Service(row.Instance.Service)
		b := s.book(engine)
		b.mu.Lock()
		b.learn(row)
		current, open, loaded := b.contents(), b.open(now), maps.Clone(b.loaded)
		b.mu.Unlock()
		if !open || current[checkpoint] != nil || service.Engine == nil {
			continue
		}
		made := site{
			engine: engine,
			free:   s.free(current, row.Instance.Service),
		}
		made.load, made.remote = loadTime(model, row.Report.Cached[checkpoint])
		for held, adapters := range current {
			made.held = append(made.held, tenant{
				checkpoint: held,
				bytes:      size(snapshot, held, adapters),
				rate:       rates[held],
				copies:     copies[held],
				fixed:      now.Sub(loaded[held]) < residence,
			})
		}
		sites = append(sites, made)
	}
	return sites
}

// copies counts the engines that hold each model, in all failure domains.
func (s *Stager) copies() map[string]int {
	counts := map[string]int{}
	for _, upstream := range s.config.Upstreams() {
		if upstream.Leaving {
			continue
		}
		if row, ok := s.config.Row(upstream.Name); ok {
			for _, one := range row.Report.Copies {
				counts[one.Checkpoint]++
			}
		}
	}
	return counts
}

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

// pace is that of a duty's loads from the weight store, or nil if the
// configuration sets no rate.
func (s *Stager) pace(name string, snapshot *configurator.Snapshot, service string) *pace {
	found, ok := snapshot.Service(service)
	if !ok || found.Engine == nil || found.Engine.Loads <= 0 {
		return nil
	}
	duties := max(1, len(s.config.Domains())) * s.config.Groups
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.paces[name]
	if kept == nil || kept.perSecond != found.Engine.Loads {
		kept = newPace(s.config.Now(), found.Engine.Loads, duties)
		s.paces[name] = kept
	}
	return kept
}

// swap unloads what makes way for a model and loads that.
type swap struct {
	stager     *Stager
	term       Term
	book       *book
	instance   storer.Instance
	checkpoint string
	choice     choice
	// pace is told of a load from the weight store; nil for another.
	pace *pace
}

// run carries the swap out.
func (w *swap) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, swapTime)
	defer cancel()
	err := w.unload(ctx)
	if err == nil {
		err = w.try(ctx, Order{
			Checkpoint: w.checkpoint,
		})
	}
	s := w.stager
	if err == nil {
		w.book.mu.Lock()
		w.book.until = s.config.Now().Add(w.choice.site.load)
		w.book.mu.Unlock()
		err = w.confirm(ctx)
	}
	now := s.config.Now()
	if w.pace != nil {
		w.pace.done()
	}
	w.book.mu.Lock()
	w.book.until, w.book.target = now, ""
	if err == nil {
		w.book.loaded[w.checkpoint] = now
	}
	w.book.mu.Unlock()
	log := s.config.Log.WithFields(logrus.Fields{
		"engine":     w.instance.Name,
		"checkpoint": w.checkpoint,
		"victims":    len(w.choice.victims),
		"remote":     w.choice.site.remote,
		"loss":       w.choice.loss,
	})
	if err != nil {
		log.WithError(err).Warn("stage.failed")
		return
	}
	log.Info("stage.loaded")
	s.changed(w.instance.Name, w.checkpoint, true)
}

// confirm waits until the engine itself says that it holds the model: a load
// takes longer while others run, and requests that come before it is done are
// refused.
func (w *swap) confirm(ctx context.Context) error {
	s := w.stager
	wait := w.choice.site.load
	for waiter.Pause(ctx, wait) {
		report, err := s.config.Read(ctx, w.instance)
		if err == nil && copies(report)[w.checkpoint] != nil {
			return nil
		}
		wait = swapPause
	}
	return ctx.Err()
}

func (w *swap) unload(ctx context.Context) error {
	for _, victim := range w.choice.victims {
		w.stager.changed(w.instance.Name, victim.checkpoint, false)
		err := w.try(ctx, Order{
			Unload:     true,
			Checkpoint: victim.checkpoint,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// try sends an order until the engine has finished the one before.
func (w *swap) try(ctx context.Context, order Order) error {
	for {
		err := w.send(ctx, order)
		var conflict *Conflict
		if !errors.As(err, &conflict) || !waiter.Pause(ctx, swapPause) {
			return err
		}
	}
}

// send sends an order for a model. The engine's own report is read first, so
// that a load is never ordered for which there is no room.
func (w *swap) send(ctx context.Context, order Order) error {
	s := w.stager
	w.book.mu.Lock()
	defer w.book.mu.Unlock()
	w.book.doubt = true
	if err := s.refresh(ctx, w.book, w.instance); err != nil {
		return err
	}
	if w.book.busy {
		return &Conflict{}
	}
	done := s.config.Now()
	if !order.Unload {
		if free := s.free(w.book.contents(), w.instance.Service); free < w.choice.bytes {
			return unavailable("the engine has no room for the model")
		}
		done = done.Add(w.choice.site.load)
	}
	_, err := s.order(ctx, w.term, w.book, w.instance, order)
	if err == nil {
		w.book.note(done, order.Checkpoint, "", !order.Unload)
	}
	return err
}

// free is the memory of an engine of a service that its contents leave, in bytes.
func (s *Stager) free(contents map[string]map[string]bool, service string) int64 {
	snapshot := s.config.Snapshot()
	found, ok := snapshot.Service(service)
	if !ok || found.Engine == nil {
		return 0
	}
	free := found.Engine.Bytes
	for checkpoint, adapters := range contents {
		free -= size(snapshot, checkpoint, adapters)
	}
	return free
}

// size is the memory that a model and its adapters take, in bytes.
func size(snapshot *configurator.Snapshot, checkpoint string, adapters map[string]bool) int64 {
	version, _ := snapshot.VersionByCheckpoint(checkpoint)
	bytes := version.Bytes
	for adapter := range adapters {
		record, _ := snapshot.Adapter(adapter)
		bytes += record.Bytes
	}
	return bytes
}
