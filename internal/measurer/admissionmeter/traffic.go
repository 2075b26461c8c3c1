package admissionmeter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

// traffic sends the requests of one team to the running instances.
type traffic struct {
	site         *site
	load         teamLoad
	rng          *rand.Rand
	measuredFrom time.Time
	stop         time.Time
	wait         sync.WaitGroup
}

func newTraffic(s *site, team teamLoad, seed uint64, measuredFrom, stop time.Time) *traffic {
	return &traffic{
		site:         s,
		load:         team,
		rng:          rand.New(rand.NewPCG(seed, 7)),
		measuredFrom: measuredFrom,
		stop:         stop,
	}
}

// run sends requests at exponentially distributed intervals until the stop time.
func (t *traffic) run(ctx context.Context) {
	mean := (minTokens + maxTokens) / 2 * usedFraction / (t.load.rate * t.load.offered)
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(t.rng.ExpFloat64() * mean * float64(time.Second)))
		if !next.Before(t.stop) {
			break
		}
		if wait := time.Until(next); wait > 0 {
			waiter.Pause(ctx, wait)
		}
		tokens := int64(minTokens + t.rng.IntN(maxTokens-minTokens+1))
		r := request{
			traffic: t,
			target:  t.pickInstance(),
			tokens:  tokens,
			used:    int64(float64(tokens) * (2*usedFraction - 1 + 2*(1-usedFraction)*t.rng.Float64())),
			hold:    time.Duration(t.rng.Float64() * float64(holdTime)),
		}
		t.wait.Add(1)
		go r.run(ctx)
	}
	t.wait.Wait()
}

// pickInstance selects a serving instance as a load balancer with health checks
// would, at random by the instances' shares.
func (t *traffic) pickInstance() *instance {
	for {
		remaining := t.rng.Float64()
		for _, spec := range instanceSpecs() {
			if remaining -= spec.share; remaining < 0 {
				if i := t.site.instance(spec.name); i.serving() {
					return i
				}
				break
			}
		}
		waiter.Pause(context.Background(), time.Millisecond)
	}
}
