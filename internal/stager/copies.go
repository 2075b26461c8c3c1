package stager

import (
	"cmp"
	"context"
	"slices"

	"github.com/sirupsen/logrus"
)

const (
	// overloadFactor is how many times the mean load of an engine one copy of a model must
	// carry before the model gets another copy.
	overloadFactor = 1.2
	// minOverload is the load of a copy below which no further copy is added, in tokens a
	// second; an engine processes about ten thousand.
	minOverload = 2000
)

// copyDemand is the demand for a first or further copy of a model.
type copyDemand struct {
	checkpoint string
	// copies is the number of copies that the model has.
	copies int
	// worth is the value of the new copy, in tokens a second: for a further copy, the load
	// that it takes off each of the others.
	worth float64
}

// overloaded returns the models whose copies carry much more than the mean load of an engine,
// the most overloaded first. It handles demand that moves to models with few copies.
func overloaded(rates map[string]float64, copies map[string]int, engines int) []copyDemand {
	total := 0.0
	for checkpoint, rate := range rates {
		if copies[checkpoint] > 0 {
			total += rate
		}
	}
	threshold := max(minOverload, overloadFactor*total/float64(max(1, engines)))
	var demands []copyDemand
	for checkpoint, rate := range rates {
		count := copies[checkpoint]
		if count == 0 || rate/float64(count) <= threshold {
			continue
		}
		demands = append(demands, copyDemand{
			checkpoint: checkpoint,
			copies:     count,
			worth:      rate / float64(count*(count+1)),
		})
	}
	slices.SortFunc(demands, func(a, b copyDemand) int {
		return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.checkpoint, b.checkpoint))
	})
	return demands
}

// spread starts further copies of overloaded models, and first copies of models without one,
// on the engines whose duties this instance holds. The number of copies selects which duty
// adds the next one, so that one holder at a time does.
func (s *Stager) spread(ctx context.Context) {
	for name, term := range s.terms() {
		if s.graceLeft(name, term) > 0 {
			continue
		}
		for service := range s.config.Snapshot().Services() {
			if service.Engine != nil {
				s.spreadService(ctx, name, term, service.Name)
				s.cover(ctx, name, term, service.Name)
			}
		}
	}
}

// spreadService starts at most one further copy for a service.
func (s *Stager) spreadService(ctx context.Context, name string, term Term, service string) {
	for _, d := range overloaded(s.demand.rates(), s.countCopies(), s.countEngines(service)) {
		if log, ok := s.addCopy(ctx, name, term, service, d, 1); ok {
			log.Info("stage.spread")
			return
		}
	}
}

// addCopy starts the load of another copy of a model if it is this duty's turn. The first copy is
// the turn of the duty that requests for the model would go to first. Models that have no more
// than keepCopies copies are not evicted. It returns the logger for the result, or false if no
// load was started.
func (s *Stager) addCopy(ctx context.Context, name string, term Term, service string, d copyDemand, keepCopies int) (logrus.FieldLogger, bool) {
	targets := s.targets(service, d.checkpoint)
	if len(targets) == 0 {
		return nil, false
	}
	next := targets[d.copies%len(targets)]
	if next.domain != s.config.Self.Domain || duty(next.number) != name {
		return nil, false
	}
	version, ok := s.config.Snapshot().VersionByCheckpoint(d.checkpoint)
	if _, _, loading := s.findLoading(d.checkpoint); !ok || loading {
		return nil, false
	}
	engine, until, err := s.startLoad(ctx, name, term, service, version, d.worth, keepCopies)
	if err != nil {
		return nil, false
	}
	return s.config.Log.WithFields(logrus.Fields{
		"checkpoint": d.checkpoint,
		"copies":     d.copies,
		"worth":      d.worth,
		"engine":     engine,
		"until":      until,
	}), true
}

// countEngines returns the number of engines of a service.
func (s *Stager) countEngines(service string) int {
	total := 0
	for _, upstream := range s.config.Upstreams() {
		if upstream.Service == service && !upstream.Leaving {
			total++
		}
	}
	return total
}
