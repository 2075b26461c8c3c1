package stager

import (
	"cmp"
	"context"
	"slices"

	"github.com/sirupsen/logrus"
)

const (
	// crowded is how many times the mean load of an engine one copy of a model
	// must carry before the model gets another one.
	crowded = 1.2
	// crowdLeast is the load of a copy below which that does not matter, in tokens
	// a second: an engine reads some ten thousand.
	crowdLeast = 2000
)

// want is a model that should have a first or another copy.
type want struct {
	checkpoint string
	copies     int
	// worth is what the copy is worth, in tokens a second: beside others, what it
	// takes off each of them.
	worth float64
}

// wanting lists the models whose copies carry much more than engines do on
// average, the most crowded first. It answers demand that moves to models with
// few copies.
func wanting(rates map[string]float64, copies map[string]int, engines int) []want {
	total := 0.0
	for checkpoint, rate := range rates {
		if copies[checkpoint] > 0 {
			total += rate
		}
	}
	bound := max(crowdLeast, crowded*total/float64(max(1, engines)))
	var wanted []want
	for checkpoint, rate := range rates {
		held := copies[checkpoint]
		if held == 0 || rate/float64(held) <= bound {
			continue
		}
		wanted = append(wanted, want{
			checkpoint: checkpoint,
			copies:     held,
			worth:      rate / float64(held*(held+1)),
		})
	}
	slices.SortFunc(wanted, func(a, b want) int {
		return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.checkpoint, b.checkpoint))
	})
	return wanted
}

// spread begins further copies of crowded models on the engines whose duties
// are held here. The duties take turns by the number of copies, so that one
// holder at a time adds one.
func (s *Stager) spread(ctx context.Context) {
	for name, term := range s.terms() {
		if s.quiet(name, term) > 0 {
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

func (s *Stager) spreadService(ctx context.Context, name string, term Term, service string) {
	for _, wanted := range wanting(s.demand.rates(), s.copies(), s.count(service)) {
		if log, ok := s.add(ctx, name, term, service, wanted, 1); ok {
			log.Info("stage.spread")
			return
		}
	}
}

// add begins the load of another copy of a model if it is the turn of a duty:
// the first copy is that of the duty that would be asked for the model first. It
// takes the place of no model that has only the given number of copies. It
// returns the line to log, or false if nothing was begun.
func (s *Stager) add(ctx context.Context, name string, term Term, service string, wanted want, least int) (logrus.FieldLogger, bool) {
	targets := s.targets(service, wanted.checkpoint)
	if len(targets) == 0 {
		return nil, false
	}
	turn := targets[wanted.copies%len(targets)]
	if turn.domain != s.config.Self.Domain || duty(turn.number) != name {
		return nil, false
	}
	version, ok := s.config.Snapshot().VersionByCheckpoint(wanted.checkpoint)
	if _, _, loading := s.loading(wanted.checkpoint); !ok || loading {
		return nil, false
	}
	engine, until, err := s.begin(ctx, name, term, service, version, wanted.worth, least)
	if err != nil {
		return nil, false
	}
	return s.config.Log.WithFields(logrus.Fields{
		"checkpoint": wanted.checkpoint,
		"copies":     wanted.copies,
		"worth":      wanted.worth,
		"engine":     engine,
		"until":      until,
	}), true
}

// count is the number of engines of a service.
func (s *Stager) count(service string) int {
	total := 0
	for _, upstream := range s.config.Upstreams() {
		if upstream.Service == service && !upstream.Leaving {
			total++
		}
	}
	return total
}
