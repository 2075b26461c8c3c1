package admissionmeter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/limiter"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

// traffic sends the requests of one team to the running instances.
type traffic struct {
	site  *site
	load  load
	rng   *rand.Rand
	begin time.Time
	stop  time.Time
	wait  sync.WaitGroup
}

func newTraffic(s *site, l load, seed uint64, begin, stop time.Time) *traffic {
	return &traffic{
		site:  s,
		load:  l,
		rng:   rand.New(rand.NewPCG(seed, 7)),
		begin: begin,
		stop:  stop,
	}
}

// run sends requests at exponentially distributed intervals until the stop time.
func (t *traffic) run(ctx context.Context) {
	mean := (leastTokens + mostTokens) / 2 * usedPart / (t.load.rate * t.load.offered)
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(t.rng.ExpFloat64() * mean * float64(time.Second)))
		if !next.Before(t.stop) {
			break
		}
		if wait := time.Until(next); wait > 0 {
			waiter.Pause(ctx, wait)
		}
		tokens := int64(leastTokens + t.rng.IntN(mostTokens-leastTokens+1))
		r := request{
			traffic: t,
			target:  t.pickInstance(),
			tokens:  tokens,
			used:    int64(float64(tokens) * (2*usedPart - 1 + 2*(1-usedPart)*t.rng.Float64())),
			hold:    time.Duration(t.rng.Float64() * float64(holdTime)),
		}
		t.wait.Add(1)
		go r.run(ctx)
	}
	t.wait.Wait()
}

// pickInstance selects an instance as a load balancer with health checks would,
// at random by the instances' shares.
func (t *traffic) pickInstance() *instance {
	for {
		at := t.rng.Float64()
		for _, place := range placements() {
			if at -= place.weight; at < 0 {
				if i := t.site.get(place.name); i.serving() {
					return i
				}
				break
			}
		}
		waiter.Pause(context.Background(), time.Millisecond)
	}
}

// request is one running request.
type request struct {
	traffic *traffic
	target  *instance
	tokens  int64
	used    int64
	hold    time.Duration
}

// run reserves tokens, records the outcome, and settles the reservation after the hold time.
func (r request) run(ctx context.Context) {
	defer r.traffic.wait.Done()
	c := call{
		at:     time.Now(),
		tokens: float64(r.tokens),
		used:   float64(r.used),
	}
	c.counted = !c.at.Before(r.traffic.begin)
	reservation, err := r.target.limiter.Reserve(ctx, limiter.Request{
		Team:   r.traffic.load.team,
		Tokens: r.tokens,
	})
	c.effect = time.Now()
	c.admitted = err == nil
	r.traffic.site.ledger.add(r.traffic.load.team, c)
	if err != nil {
		return
	}
	waiter.Pause(ctx, r.hold)
	reservation.Settle(r.used)
}
