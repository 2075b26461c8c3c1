package stager

import (
	"cmp"
	"context"
	"slices"

	"github.com/sirupsen/logrus"
)

const (
	// overloadFactor is the load of a copy, relative to the mean load of an engine, above which
	// the model gets another copy.
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
	// benefit is the value of the new copy, in tokens a second: for a further copy, the load
	// that it takes off each of the others.
	benefit float64
}

// overloaded returns the models whose copies carry much more than the mean load of an engine,
// those first that benefit most from another copy. Such models occur when demand shifts to models
// with few copies.
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
			benefit:    rate / float64(count*(count+1)),
		})
	}
	slices.SortFunc(demands, func(a, b copyDemand) int {
		return cmp.Or(cmp.Compare(b.benefit, a.benefit), cmp.Compare(a.checkpoint, b.checkpoint))
	})
	return demands
}

// addCopies starts further copies of overloaded models, and first copies of models without one,
// on the engines whose duties this instance holds. The number of copies of a model selects the
// duty that adds the next one, so that two holders do not add it at the same time.
func (s *Stager) addCopies(ctx context.Context) {
	for duty, term := range s.terms() {
		if s.graceRemaining(duty, term) > 0 {
			continue
		}
		for service := range s.config.Snapshot().Services() {
			if service.Engine != nil {
				s.addFurtherCopy(ctx, duty, term, service.Name)
				s.addFirstCopy(ctx, duty, term, service.Name)
			}
		}
	}
}

// addFurtherCopy starts at most one further copy of an overloaded model of a service.
func (s *Stager) addFurtherCopy(ctx context.Context, duty string, term Term, service string) {
	for _, d := range overloaded(s.demand.rates(), s.countCopies(), s.countEngines(service)) {
		if log, ok := s.addCopy(ctx, duty, term, service, d, 1); ok {
			log.Info("stage.spread")
			return
		}
	}
}

// addCopy starts the load of another copy of a model if it is this duty's turn. The first copy is
// added by the duty that requests for the model are sent to first. Models that have no more
// than keepCopies copies are not evicted. It returns the logger for the result, or false if no
// load was started.
func (s *Stager) addCopy(ctx context.Context, duty string, term Term, service string, d copyDemand, keepCopies int) (logrus.FieldLogger, bool) {
	targets := s.targets(service, d.checkpoint)
	if len(targets) == 0 {
		return nil, false
	}
	next := targets[d.copies%len(targets)]
	if next.domain != s.config.Self.Domain || dutyName(next.number) != duty {
		return nil, false
	}
	version, ok := s.config.Snapshot().VersionByCheckpoint(d.checkpoint)
	if _, _, loading := s.findLoading(d.checkpoint); !ok || loading {
		return nil, false
	}
	engine, until, err := s.startLoad(ctx, duty, term, service, version, d.benefit, keepCopies)
	if err != nil {
		return nil, false
	}
	return s.config.Log.WithFields(logrus.Fields{
		"checkpoint": d.checkpoint,
		"copies":     d.copies,
		"worth":      d.benefit,
		"engine":     engine,
		"until":      until,
	}), true
}

// countCopies counts the engines that hold each model and are not about to unload it, in all failure domains.
func (s *Stager) countCopies() map[string]int {
	now := s.config.Now()
	counts := map[string]int{}
	for _, upstream := range s.config.Upstreams() {
		if upstream.Leaving {
			continue
		}
		if row, ok := s.config.Row(upstream.Name); ok {
			for _, loaded := range row.Report.Copies {
				if !s.removals.has(now, upstream.Name, loaded.Checkpoint) {
					counts[loaded.Checkpoint]++
				}
			}
		}
	}
	return counts
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
