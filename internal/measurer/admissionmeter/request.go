package admissionmeter

import (
	"context"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/limiter"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

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
	c := requestRecord{
		arrivedAt: time.Now(),
		tokens:    float64(r.tokens),
		used:      float64(r.used),
	}
	c.measured = !c.arrivedAt.Before(r.traffic.measuredFrom)
	reservation, err := r.target.limiter.Reserve(ctx, limiter.Request{
		Team:   r.traffic.load.name,
		Tokens: r.tokens,
	})
	c.effectiveAt = time.Now()
	c.admitted = err == nil
	r.traffic.site.ledger.add(r.traffic.load.name, c)
	if err != nil {
		return
	}
	waiter.Pause(ctx, r.hold)
	reservation.Settle(r.used)
}
