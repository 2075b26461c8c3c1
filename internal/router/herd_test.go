package router_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// simulation simulates many router instances in front of a few engines whose reports lag.
type simulation struct {
	fleet   *fleet
	routers []*router.Router
	// running counts the requests on each engine, and active lists them.
	running map[string]int
	active  []runningRequest
	// peak is the highest load of any engine.
	peak int
	// spread is the difference between the highest and the lowest load, summed over all steps.
	spread float64
	steps  int
	// refused counts the requests for which no engine had a free slot.
	refused int
}

// runningRequest is a running request and the time at which it ends.
type runningRequest struct {
	ends     time.Time
	upstream string
	choice   *router.Choice
}

// run simulates a span of time in steps of a millisecond. After each interval the routers receive
// the engines' load as it was a lag ago. The load is a fraction of all slots.
func (s *simulation) run(random *rand.Rand, span, lag, interval time.Duration, load float64) {
	meanDuration := 500 * time.Millisecond
	slots := 32
	rate := load * float64(slots*len(s.fleet.rows)) / meanDuration.Seconds()
	var history []map[string]int
	for step := range int(span / time.Millisecond) {
		s.fleet.now = s.fleet.now.Add(time.Millisecond)
		s.finish()
		for arrivals := poisson(random, rate/1000); arrivals > 0; arrivals-- {
			r := s.routers[random.IntN(len(s.routers))]
			choice, ok := r.Pick(need)
			if !ok {
				s.refused++
				continue
			}
			s.running[choice.Upstream]++
			s.active = append(s.active, runningRequest{
				ends:     s.fleet.now.Add(time.Duration(random.ExpFloat64() * float64(meanDuration))),
				upstream: choice.Upstream,
				choice:   choice,
			})
		}
		history = append(history, clone(s.running))
		if step%int(interval/time.Millisecond) == 0 && step > int(lag/time.Millisecond) {
			s.publish(history[step-int(lag/time.Millisecond)], lag)
		}
		s.measure()
	}
}

// finish ends the requests that are due.
func (s *simulation) finish() {
	s.active = slices.DeleteFunc(s.active, func(e runningRequest) bool {
		if e.ends.After(s.fleet.now) {
			return false
		}
		s.running[e.upstream]--
		e.choice.Done(router.Good)
		return true
	})
}

// publish sends reports with the given load to all routers.
func (s *simulation) publish(running map[string]int, lag time.Duration) {
	for name, count := range running {
		report := s.fleet.reports[name]
		report.Sequence++
		report.At = s.fleet.now.Add(-lag)
		report.Running = count
		report.Slots = 32
		s.fleet.reports[name] = report
	}
	for _, r := range s.routers {
		for _, row := range s.fleet.rows {
			r.Update(row.Name)
		}
	}
}

// measure records the peak load and the difference between the engines' loads.
func (s *simulation) measure() {
	low, high := 1<<30, 0
	for _, count := range s.running {
		low, high = min(low, count), max(high, count)
	}
	s.peak = max(s.peak, high)
	s.spread += float64(high - low)
	s.steps++
}

// clone copies the number of running requests on each engine.
func clone(counts map[string]int) map[string]int {
	copied := make(map[string]int, len(counts))
	for name, count := range counts {
		copied[name] = count
	}
	return copied
}

// poisson draws a Poisson-distributed number.
func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for remaining := mean; ; count++ {
		remaining -= random.ExpFloat64()
		if remaining < 0 {
			return count
		}
	}
}

// newSimulation starts router instances that always take the emptier of two engines
// (herd) or draw by weight.
func newSimulation(random *rand.Rand, instances, engines int, herd bool) *simulation {
	s := &simulation{
		fleet:   newFleet(engines),
		running: map[string]int{},
	}
	for name, report := range s.fleet.reports {
		report.Slots = 32
		s.fleet.reports[name] = report
		s.running[name] = 0
	}
	for range instances {
		r := router.New(router.Config{
			Upstreams: func() []storer.Instance { return s.fleet.rows },
			Domain:    "central",
			Report: func(name string) (reporter.Report, time.Time, bool) {
				return s.fleet.reports[name], s.fleet.now, true
			},
			Now:           func() time.Time { return s.fleet.now },
			Random:        random.Uint64N,
			AlwaysEmptier: herd,
		})
		r.Refresh()
		s.routers = append(s.routers, r)
	}
	return s
}

// compareRules runs the same simulation by the emptiest-of-two rule and by the weighted
// one.
func compareRules(seed uint64, instances, engines int, load float64) (herd, weighted *simulation) {
	run := func(herd bool) *simulation {
		random := rand.New(rand.NewPCG(seed, 1))
		s := newSimulation(random, instances, engines, herd)
		s.run(random, 5*time.Second, 200*time.Millisecond, 250*time.Millisecond, load)
		return s
	}
	return run(true), run(false)
}

// TestInstancesDoNotHerd guards against herding: between two lagging reports, many
// instances that always take the emptier engine all send to the same one.
func TestInstancesDoNotHerd(t *testing.T) {
	is := is.New(t)
	for _, engines := range []int{2, 4} {
		herd, weighted := compareRules(7, 40, engines, 0.7)
		t.Logf("engines=%d spread emptiest=%.1f weighted=%.1f peak emptiest=%d weighted=%d refused emptiest=%d weighted=%d", engines,
			herd.spread/float64(herd.steps), weighted.spread/float64(weighted.steps), herd.peak, weighted.peak, herd.refused, weighted.refused)
		is.True(weighted.spread < herd.spread)
		is.True(weighted.peak <= herd.peak)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, engines := range []int{8, 180, 730} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			f := newFleet(engines)
			r := f.router()
			b.ReportAllocs()
			for b.Loop() {
				choice, ok := r.Pick(need)
				if !ok {
					b.Fatal("no choice")
				}
				choice.Done(router.Good)
			}
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	f := newFleet(730)
	r := f.router()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		name := f.rows[n%730].Name
		report := f.reports[name]
		report.Sequence++
		report.Running = n % 4
		f.reports[name] = report
		r.Update(name)
	}
}
