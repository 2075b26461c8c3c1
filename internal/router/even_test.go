package router_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/balancer"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	evenEngines   = 90
	evenInstances = 88
	// evenReading is the prompt tokens that an engine reads in a millisecond at its usual pace.
	evenReading = 40.0
	evenAnswer  = 500 * time.Millisecond
	evenAim     = 800 * time.Millisecond
	evenShared  = 6300
	evenOwn     = 2900
)

// unevenEngine reads one prompt after the other at a pace that changes, and keeps the shared parts of the prompts.
type unevenEngine struct {
	name string
	// usual is the engine's usual pace, and slow the time until which it is slowed down by others on its machine.
	usual float64
	slow  time.Time
	// free is when the engine has read all prompts that it has got.
	free time.Time
	kept map[uint64]bool
	// running is the number of its requests.
	running int
}

func (e *unevenEngine) pace(now time.Time) float64 {
	if now.Before(e.slow) {
		return 2.5 * e.usual
	}
	return e.usual
}

// unevenLoad simulates instances in front of uneven engines, each of which they know to have a load as of some time ago.
type unevenLoad struct {
	*fleet
	random  *rand.Rand
	engines map[string]*unevenEngine
	routers []*router.Router
	active  []runningRequest
	// sent counts the requests, late those whose first token came after the aim, read the prompt tokens that engines read.
	sent, late int
	read       float64
	// overrun and idle are the shares of engines whose prompts wait for longer than the aim and that have none, summed over
	// steps; spread is the standard deviation of the number of requests, in parts of its mean.
	overrun, idle, spread float64
}

func newUnevenLoad(seed uint64) *unevenLoad {
	l := &unevenLoad{
		fleet:   newFleet(evenEngines),
		random:  rand.New(rand.NewPCG(seed, 1)),
		engines: map[string]*unevenEngine{},
	}
	for i, row := range l.rows {
		report := l.reports[row.Name]
		report.Slots = 96
		l.reports[row.Name] = report
		l.engines[row.Name] = &unevenEngine{
			name:  row.Name,
			usual: []float64{1.8, 0.9, 0.8, 0.7}[i%4],
			kept:  map[uint64]bool{},
		}
	}
	for range evenInstances {
		l.routers = append(l.routers, l.router())
	}
	return l
}

// send sends a request with one of many shared prompt parts.
func (l *unevenLoad) send(prompts int) {
	u := l.random.Float64()
	shared := uint64(float64(prompts) * u * u)
	choice, ok := l.routers[l.random.IntN(len(l.routers))].Pick(router.Need{
		Checkpoint: "m-1",
		Tokens:     evenShared + evenOwn,
		Parts: []router.PromptPart{
			{
				Hash:   shared + 1,
				Tokens: evenShared,
			},
			{
				Hash:   l.random.Uint64(),
				Tokens: evenOwn,
			},
		},
	})
	l.sent++
	if !ok {
		l.late++
		return
	}
	e := l.engines[choice.Upstream]
	tokens := float64(evenOwn)
	if !e.kept[shared] {
		tokens += evenShared
		e.kept[shared] = true
	}
	l.read += tokens
	if e.free.Before(l.now) {
		e.free = l.now
	}
	pace := e.pace(l.now)
	e.free = e.free.Add(time.Duration(tokens / evenReading * pace * float64(time.Millisecond)))
	if e.free.Sub(l.now) > evenAim {
		l.late++
	}
	e.running++
	l.active = append(l.active, runningRequest{
		ends:     e.free.Add(time.Duration(pace * float64(evenAnswer))),
		upstream: e.name,
		choice:   choice,
	})
}

// run simulates requests at a rate per second. All instances know each engine's load as of half the age to the whole age ago;
// paced is set if that holds its pace.
func (l *unevenLoad) run(span, age time.Duration, rate float64, prompts int, paced bool) {
	const step = 10 * time.Millisecond
	type statement struct {
		engine string
		load   balancer.Load
	}
	var stated []statement
	told := l.now
	for range span / step {
		l.now = l.now.Add(step)
		remaining := l.active[:0]
		for _, request := range l.active {
			if request.ends.After(l.now) {
				remaining = append(remaining, request)
				continue
			}
			l.engines[request.upstream].running--
			request.choice.Done(router.Good)
		}
		l.active = remaining
		for range poisson(l.random, rate*step.Seconds()) {
			l.send(prompts)
		}
		l.measure(step)
		if l.now.Sub(told) < age/2 {
			continue
		}
		for _, r := range l.routers {
			for _, s := range stated {
				r.ObserveLoad(s.engine, told, s.load)
			}
		}
		stated, told = stated[:0], l.now
		for _, row := range l.rows {
			e := l.engines[row.Name]
			load := balancer.Load{
				Running: e.running,
				Slots:   96,
			}
			if paced {
				load.Pace = e.pace(l.now)
			}
			stated = append(stated, statement{
				engine: e.name,
				load:   load,
			})
		}
	}
}

// measure adds the engines' states to the sums, and slows engines down now and then.
func (l *unevenLoad) measure(step time.Duration) {
	sum, squares := 0.0, 0.0
	for _, row := range l.rows {
		e := l.engines[row.Name]
		if e.free.Sub(l.now) > evenAim {
			l.overrun += 1.0 / evenEngines
		}
		if !e.free.After(l.now) {
			l.idle += 1.0 / evenEngines
		}
		sum += float64(e.running)
		squares += float64(e.running) * float64(e.running)
		if l.now.After(e.slow) && l.random.Float64() < 0.15/0.85*step.Seconds()/0.6 {
			e.slow = l.now.Add(600 * time.Millisecond)
		}
	}
	mean := sum / evenEngines
	l.spread += math.Sqrt(max(0, squares/evenEngines-mean*mean)) / max(1, mean)
}

// TestLoadIsEvenThoughKnowledgeIsOld compares the choice by expected times with the choice by cached prompts and free slots,
// under a load that the engines can bear if none is overrun, while each instance knows their load as of 0.2 to 3 s ago.
func TestLoadIsEvenThoughKnowledgeIsOld(t *testing.T) {
	for _, prompts := range []int{40, 600} {
		for _, age := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
			t.Run(fmt.Sprintf("prompts=%d,age=%s", prompts, age), func(t *testing.T) {
				is := is.New(t)
				run := func(paced bool) *unevenLoad {
					l := newUnevenLoad(7)
					const span, rate = 8 * time.Second, 400
					l.run(span, age, rate, prompts, paced)
					steps := float64(span / (10 * time.Millisecond))
					t.Logf("paced=%t late=%.3f overrun=%.3f idle=%.3f spread=%.2f read=%.0f tokens a request", paced,
						float64(l.late)/float64(l.sent), l.overrun/steps, l.idle/steps, l.spread/steps, l.read/float64(l.sent))
					return l
				}
				before, after := run(false), run(true)
				is.True(after.late < before.late)
				is.True(after.overrun < before.overrun)
			})
		}
	}
}

// pacedFleet returns a router in front of engines that state a pace each.
func pacedFleet(memory int64, paces ...float64) (*fleet, *router.Router) {
	f := newFleet(len(paces))
	r := router.New(router.Config{
		Domain:       "central",
		EngineTokens: func(string) int64 { return memory },
		Upstreams:    func() []storer.Instance { return f.rows },
		Report: func(name string) (reporter.Report, time.Time, bool) {
			report, ok := f.reports[name]
			return report, f.now, ok
		},
		Now: func() time.Time { return f.now },
	})
	r.Refresh()
	for i, pace := range paces {
		r.ObserveLoad(f.rows[i].Name, f.now, balancer.Load{
			Slots: 96,
			Pace:  pace,
		})
	}
	return f, r
}

// TestEnginesMemoryIsKept checks that a prompt leaves its home, although that has slots and the prompt cached, once the engine's
// memory would be exceeded.
func TestEnginesMemoryIsKept(t *testing.T) {
	is := is.New(t)
	_, r := pacedFleet(10_000, 1, 1, 1)
	counts := map[string]int{}
	for range 6 {
		choice, ok := r.Pick(router.Need{
			Checkpoint: "m-1",
			Tokens:     4000,
			Parts: []router.PromptPart{
				{
					Hash:   1,
					Tokens: 3900,
				},
			},
		})
		is.True(ok)
		counts[choice.Upstream]++
	}
	is.Equal(counts, map[string]int{"engine0": 2, "engine1": 2, "engine2": 2})
}

// TestSlowEngineGetsLess checks that requests without a home go to the engine that is expected to be done first, and that a pace
// that was stated long ago is not taken for the present one.
func TestSlowEngineGetsLess(t *testing.T) {
	is := is.New(t)
	f, r := pacedFleet(0, 4, 1)
	pick := func() string {
		choice, ok := r.Pick(router.Need{
			Checkpoint: "m-1",
			Tokens:     1000,
		})
		is.True(ok)
		defer choice.Done(router.Good)
		is.True(choice.Expected.Pace > 0)
		return choice.Upstream
	}
	for range 20 {
		is.Equal(pick(), "engine1")
	}
	for _, row := range r.Dump().([]router.Row) {
		is.True(row.Pace == 4 || row.Upstream != "engine0")
	}
	f.now = f.now.Add(time.Minute)
	for _, row := range r.Dump().([]router.Row) {
		is.True(row.Pace < 3) // one statement says little of the usual pace
	}
}

// BenchmarkPickEven measures the choice by expected times.
func BenchmarkPickEven(b *testing.B) {
	for _, engines := range []int{8, 180, 730} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			_, r := pacedFleet(0, make([]float64, engines)...)
			r.ObserveLoad("engine0", time.Unix(1000, 0), balancer.Load{
				Slots: 96,
				Pace:  1,
			})
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
